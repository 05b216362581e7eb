"""Cached worker lists: each manager stores the list it last received, to send tables right after a restart."""

import os

import orjson


def worker_list_path(folder, manager):
    """Returns the path of the worker list of a manager, by name, in the store `folder`."""
    return os.path.join(folder, "lists", f"{manager}.json")


def read_worker_list(folder, manager):
    """Returns the stored body in bytes, or None if it does not exist, cannot be read or is not JSON."""
    try:
        with open(worker_list_path(folder, manager), "rb") as file:
            body = file.read()
        orjson.loads(body)
        return body
    except (OSError, ValueError):
        return None
