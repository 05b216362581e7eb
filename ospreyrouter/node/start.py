"""Parameters of the program, read at its start from four environment variables and a JSON file.

Whatever is invalid raises InvalidStartParameters with a text of one line.
"""

import os
from dataclasses import dataclass

import orjson

from ..naming import Malformed, NameIndex
from .frames import UnreadableMessage
from .listing import parse_address, parse_list
from .relay_lines import is_valid_name

# For the program itself, its links, some probes, a collector of each zone and connections that are being rejected.
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 64


class InvalidStartParameters(Exception):
    """A parameter cannot be used; the text names it and the reason."""


@dataclass(frozen=True)
class StartParameters:
    """Name and addresses of this manager, its limits, and the worker list as it was last known.

    Addresses are pairs (host, port). `sockets` is the number of descriptors that the program may use. `known` is a
    result of `listing.parse_list` or None, `settings` the part of the file that describes the deployment.
    """

    name: str
    listen: tuple
    discovery: tuple
    relay: tuple
    seed: int
    sockets: int
    known: tuple | None
    settings: dict
    memory_mb: float = DEFAULT_MEMORY_MB


def _require_address(text, source):
    address = parse_address(text)
    if address is None:
        raise InvalidStartParameters(f"{source}: not an address of the form 10.0.0.4:8443: {text!r:.80}")
    return address


def _require(data, key, types, source):
    if not isinstance(data.get(key), types) or isinstance(data.get(key), bool):
        raise InvalidStartParameters(
            f"{source}: {key} is {'missing' if data.get(key) is None else 'of the wrong type'}"
        )
    return data[key]


def read_file(path):
    """The JSON object in a file. Raises InvalidStartParameters."""
    try:
        with open(path, "rb") as file:
            data = orjson.loads(file.read())
    except OSError as error:
        raise InvalidStartParameters(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise InvalidStartParameters(f"{path}: not JSON: {error}") from None
    if not isinstance(data, dict):
        raise InvalidStartParameters(f"{path}: not an object")
    return data


def read_start_parameters(environment=os.environ):
    """The StartParameters from the environment and the file that it names. Raises InvalidStartParameters.

    For addresses the file takes precedence over the variables, as it may have been replaced after they were set.
    """
    for name in ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"):
        if not environment.get(name):
            raise InvalidStartParameters(f"{name}: the variable is missing")
    listen = _require_address(environment["LB_LISTEN"], "LB_LISTEN")
    fallback = _require_address(environment["LB_DISCOVERY"], "LB_DISCOVERY")
    path = environment["LB_CONFIG"]
    data = read_file(path)
    discovery, relay = read_addresses(data, path, fallback)
    known = data.get("known")
    try:
        known = parse_list(known) if known is not None else None
    except UnreadableMessage as error:
        raise InvalidStartParameters(f"{path}: known: {error}") from None
    limits = _require(data, "limits", dict, path)
    sockets = _require(limits, "sockets", int, f"{path}: limits")
    memory_mb = _require({"memory_mb": DEFAULT_MEMORY_MB} | limits, "memory_mb", (int, float), f"{path}: limits")
    if not memory_mb > 0:
        raise InvalidStartParameters(f"{path}: limits.memory_mb: {memory_mb} is not above 0")
    if sockets < MIN_SOCKETS:
        raise InvalidStartParameters(f"{path}: limits.sockets: {sockets} is less than the minimum of {MIN_SOCKETS}")
    seed = _require(data, "seed", str, path)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise InvalidStartParameters(f"{path}: seed: not a hexadecimal number: {seed!r:.40}") from None
    return StartParameters(
        environment["LB_NAME"],
        listen,
        discovery,
        relay,
        seed,
        sockets,
        known,
        _require(data, "settings", dict, path),
        memory_mb,
    )


def read_addresses(data, path, fallback=None):
    """The addresses of discovery and the relay in the content of a file, which may be a new version of it.

    `fallback` is the address of discovery if the file has none. Raises InvalidStartParameters.
    """
    hub = _require(data, "hub", dict, path)
    discovery = data.get("discovery")
    discovery_address = (
        fallback if discovery is None and fallback else _require_address(discovery, f"{path}: discovery")
    )
    return discovery_address, _require_address(hub.get("address"), f"{path}: hub.address")


def build_name_index(parameters):
    """The NameIndex of the deployment that the settings describe. Raises InvalidStartParameters."""
    try:
        name_index = NameIndex(parameters.settings)
    except Malformed as error:
        raise InvalidStartParameters(f"settings: {error}") from None
    if not name_index.deployment.slice_count:
        raise InvalidStartParameters("settings: FamilyInfo.PartitionsN: deployments without slices are not supported")
    for index, transaction_class in enumerate(name_index.deployment.classes):
        # "+" separates classes in an order.
        if not is_valid_name(transaction_class.name) or "+" in transaction_class.name:
            raise InvalidStartParameters(
                f"settings: Lanes[{index}].Name: not allowed in an order: {transaction_class.name!r:.60}"
            )
    return name_index
