"""The worker list as a manager last had it: with it a manager that starts anew knows whom it may send to."""

import os

import orjson


class ListFile:
    def __init__(self, folder, manager, disk):
        os.makedirs(os.path.join(folder, "lists"), exist_ok=True)
        self.path, self.disk = os.path.join(folder, "lists", f"{manager}.json"), disk

    def read(self):
        """The body as written, or None where there is none that can be read."""
        try:
            with open(self.path, "rb") as file:
                body = file.read()
            orjson.loads(body)
            return body
        except (OSError, ValueError):
            return None

    def write(self, body):
        """Raises OSError."""
        beside = f"{self.path}.{os.getpid()}.new"
        self.disk.remove(beside)
        self.disk.write_new(beside, body)
        self.disk.rename(beside, self.path)
