"""Operators' orders about custody, in the store: `custody/orders.json`, swapped whole, read by every manager's looks.

    {"heldOut": ["manager-1"]}: these managers are given no slices, and give away those they have.
"""

import os

import orjson


class BadOrders(ValueError):
    """The text names file, field and reason."""


def orders_path(folder):
    return os.path.join(folder, "custody", "orders.json")


def read_orders(folder, managers):
    """Names held out, in order; empty where there is no file. Raises BadOrders, OSError."""
    path = orders_path(folder)
    try:
        with open(path, "rb") as file:
            body = file.read(1 << 20)
    except FileNotFoundError:
        return ()
    try:
        data = orjson.loads(body)
    except ValueError:
        raise BadOrders(f"{path}: is no JSON") from None
    names = data.get("heldOut") if isinstance(data, dict) else None
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise BadOrders(f"{path}: heldOut: is no list of names")
    for name in names:
        if name not in managers:
            raise BadOrders(f"{path}: heldOut: {name!r:.60} is no manager of this deployment")
    if len(set(names)) >= len(managers):
        raise BadOrders(f"{path}: heldOut: names every manager, none would be left")
    return tuple(name for name in managers if name in names)


def write_orders(folder, managers, held_out):
    """Whole, flushed and renamed. Raises OSError, or BadOrders where they could not be read again."""
    if len(set(held_out)) >= len(managers):
        raise BadOrders("heldOut: every manager, none would be left")
    path = orders_path(folder)
    beside = f"{path}.{os.getpid()}.new"
    with open(beside, "wb") as file:
        file.write(orjson.dumps({"heldOut": [name for name in managers if name in held_out]}))
        file.flush()
        os.fsync(file.fileno())
    os.rename(beside, path)
