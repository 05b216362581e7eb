"""The worker list of discovery: JSON objects that hold the whole list or changes, one a line on a watch. No I/O.

    seq, whole, rows = parse_list(data)      # raises UnreadableMessage
    fields = parse_entry(row)                # raises Malformed

The fields of an entry are: name, address as (host, port), zone, kind, cell, state, weight, and the start in Unix
milliseconds (0: long ago).
"""

import orjson

from ..interface import WorkerState
from ..naming import Malformed
from .frames import UnreadableMessage
from .relay_lines import is_valid_name

MAX_LINE = 4 << 20  # bytes
MAX_ENTRIES = 20_000
STATES = {"active": WorkerState.READY, "leaving": WorkerState.DRAINING, "left": WorkerState.GONE}


def parse_address(text):
    """`IPv4:port` as a pair (host, port); None for anything else, as host names are not resolved."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    octets = host.split(".")
    if len(octets) != 4 or not all(octet.isdigit() and len(octet) < 4 and int(octet) < 256 for octet in octets):
        return None
    return (host, int(port)) if port.isdigit() and len(port) < 6 and 0 < int(port) < 65536 else None


def parse_line(line):
    """One line of a watch like `parse_list`; None for an empty keep-alive line. Raises UnreadableMessage."""
    if not line.strip():
        return None
    try:
        return parse_list(orjson.loads(line))
    except orjson.JSONDecodeError:
        raise UnreadableMessage("not JSON") from None


def parse_list(data):
    """The version, whether the list is whole (otherwise it holds changes), and its rows. Raises UnreadableMessage."""
    if not isinstance(data, dict):
        raise UnreadableMessage("not an object")
    seq, whole, rows = data.get("seq"), data.get("whole"), data.get("hosts")
    if (
        not isinstance(seq, int)
        or isinstance(seq, bool)
        or seq < 0
        or not isinstance(whole, bool)
        or not isinstance(rows, list)
        or len(rows) > MAX_ENTRIES
    ):
        raise UnreadableMessage("invalid seq, whole or hosts")
    return seq, whole, rows


def _require(row, key, types):
    value = row.get(key)
    if not isinstance(value, types) or isinstance(value, bool):
        raise Malformed(key)
    return value


def parse_entry(row):
    """The fields of one row of the list, see the top of this module. Raises Malformed with the field."""
    if not isinstance(row, dict):
        raise Malformed("entry")
    name, state, cell = _require(row, "host", str), _require(row, "health", str), _require(row, "block", int)
    if not is_valid_name(name):
        raise Malformed("host")
    if state not in STATES:
        raise Malformed("health")
    weight, born_ms = _require(row, "share", (int, float)), _require(row, "born_ms", (int, float))
    if not 0.0 <= weight <= 1e9 or not 0 <= born_ms < 1e15:
        raise Malformed("share or born_ms")
    address = parse_address(row.get("dial"))
    if address is None and STATES[state] is not WorkerState.GONE:
        raise Malformed("dial")
    return (
        name,
        address,
        _require(row, "site", str),
        _require(row, "class", str),
        cell,
        STATES[state],
        weight,
        int(born_ms),
    )
