"""Operators' orders: `custody/orders.json`, replaced whole and read by every manager in its periodic checks.

    {"heldOut": ["manager-1"], "sitesOut": ["south"]}

Managers that are held out are assigned no slices and hand over those they have; workers of a site that is held out
drain.
"""

import os
from typing import NamedTuple

import orjson


class InvalidOrders(ValueError):
    """The orders are malformed; the text names file, field and reason."""


class OperatorOrders(NamedTuple):
    """Names of the managers and sites that are held out, in the order of the deployment."""

    managers: tuple = ()
    sites: tuple = ()


def orders_path(folder):
    """Returns the path of the orders file in the store `folder`."""
    return os.path.join(folder, "custody", "orders.json")


def parse_names(data, field, known, kind, path):
    """Returns the names in `data[field]` in the order of `known`. `kind` and `path` are for the error text.

    Raises InvalidOrders for anything but a list of known names, and for a list that names all of them.
    """
    names = data.get(field, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidOrders(f"{path}: {field}: is not a list of names")
    for name in names:
        if name not in known:
            raise InvalidOrders(f"{path}: {field}: {name!r:.60} is not a {kind} of this deployment")
    if known and len(set(names)) >= len(known):
        raise InvalidOrders(f"{path}: {field}: names every {kind}; at least one must remain in use")
    return tuple(name for name in known if name in names)


def read_orders(folder, managers, sites):
    """Returns the OperatorOrders of a store; without a file, nothing is held out. Raises InvalidOrders, OSError."""
    path = orders_path(folder)
    try:
        with open(path, "rb") as file:
            body = file.read(1 << 20)
    except FileNotFoundError:
        return OperatorOrders()
    try:
        data = orjson.loads(body)
    except ValueError:
        raise InvalidOrders(f"{path}: is not valid JSON") from None
    if not isinstance(data, dict) or data.keys() - {"heldOut", "sitesOut"}:
        raise InvalidOrders(f"{path}: is not an object with only the fields heldOut and sitesOut")
    return OperatorOrders(
        parse_names(data, "heldOut", managers, "manager", path), parse_names(data, "sitesOut", sites, "site", path)
    )


def write_orders(folder, managers, sites, orders):
    """Replaces the orders: writes a temporary file, flushes and renames it.

    Raises OSError, or InvalidOrders if `read_orders` would not accept them.
    """
    data = {"heldOut": list(orders.managers), "sitesOut": list(orders.sites)}
    path = orders_path(folder)
    parse_names(data, "heldOut", managers, "manager", path)
    parse_names(data, "sitesOut", sites, "site", path)
    temporary = f"{path}.{os.getpid()}.new"
    with open(temporary, "wb") as file:
        file.write(orjson.dumps(data))
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
