"""Messages of callers: frames of a four-byte big-endian length and one JSON object of that length. No I/O.

for message in FrameReader().feed(data, max_length): ...  # raises UnreadableMessage
event = parse_report(message, name_index, reporter)       # for the manager; raises Malformed
"""

import math

import orjson

from ..naming import Malformed
from .reports import load_report

MAX_FRAME = 1 << 20  # bytes
REPORTS = ("LOAD", "SHARD", "RATE")
MAX_SPAN_MS = 3_600_000.0  # of the window of a report and of a response time
MAX_COUNT = 10_000_000


class UnreadableMessage(Exception):
    """A stream cannot be parsed any further; the text gives the cause.

    `before` holds the complete messages that precede the unreadable one in the data.
    """

    def __init__(self, text, before=()):
        super().__init__(text)
        self.before = before


class FrameReader:
    """Splits a stream of bytes into frames; `partial` holds the beginning of an incomplete one.

    `missing` is the number of bytes without which no frame can be complete.
    """

    __slots__ = ("partial", "missing")

    def __init__(self):
        self.partial, self.missing = bytearray(), 0

    def feed(self, data, max_length=MAX_FRAME, lifts_limit=lambda message: False):
        """The JSON values of the frames that `data` completes, as a list.

        A frame may have up to `max_length` bytes, or up to MAX_FRAME after a message for which `lifts_limit(message)`
        is true. Raises UnreadableMessage.
        """
        self.missing -= len(data)
        if self.partial:
            self.partial += data
            if self.missing > 0:  # a large frame may come in very many pieces
                return []
            data = bytes(self.partial)
        position, messages, self.partial, self.missing = 0, [], bytearray(), 0
        while len(data) - position >= 4:
            size = int.from_bytes(data[position : position + 4], "big")
            if not 1 <= size <= max_length:
                raise UnreadableMessage("length", messages)
            if len(data) - position - 4 < size:
                self.missing = size + 4 - (len(data) - position)
                break
            try:
                messages.append(orjson.loads(data[position + 4 : position + 4 + size]))
            except orjson.JSONDecodeError:
                raise UnreadableMessage("not JSON", messages) from None
            position += 4 + size
            max_length = MAX_FRAME if lifts_limit(messages[-1]) else max_length
        self.partial = bytearray(data[position:])
        return messages


def encode_frame(message):
    """The frame of a message, as bytes."""
    body = orjson.dumps(message)
    return len(body).to_bytes(4, "big") + body


PONG, NACK = encode_frame({"msg": "PONG"}), encode_frame({"msg": "NACK"})


def require_number(message, key, low, high):
    """The number at `key`, from `low` to `high`; raises Malformed."""
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise Malformed(key)
    return value


def require_integer(message, key, low, high):
    """The integer at `key`, from `low` to `high`; raises Malformed."""
    if not isinstance(message.get(key), int):
        raise Malformed(key)
    return require_number(message, key, low, high)


def message_kind(message):
    """The kind of a decoded message, a string; None if it has none."""
    kind = message.get("msg") if isinstance(message, dict) else None
    return kind if isinstance(kind, str) else None


def to_micros(milliseconds):
    """Milliseconds as whole microseconds, rounded half up."""
    return math.floor(milliseconds * 1000.0 + 0.5)


def parse_report(message, name_index, reporter):
    """A report as an event: the name of a method of the manager and its arguments. Raises Malformed with the field.

    `reporter`: index of the zone whose collector sent it.
    """
    kind, setup = message_kind(message), name_index.deployment
    if kind not in REPORTS:
        raise Malformed("msg")
    count = require_integer(message, "n", 0, MAX_COUNT)
    # In LOAD reports, failed ones among the `count` tries. In the others, lost ones among the transactions of a slice
    # or proxy, which may have arrived in an earlier window.
    lost = require_integer(message, "bad", 0, count if kind == "LOAD" else MAX_COUNT)
    span_us = to_micros(require_number(message, "window", 0.0, MAX_SPAN_MS))
    if kind == "LOAD":
        zone, worker = name_index.zone_index(message.get("az")), name_index.find_worker(message.get("host"))
        if worker is None:
            raise Malformed("host")
        delay_us = to_micros(require_number(message, "avg", 0.0, MAX_SPAN_MS))
        return ("tries_reported", zone, worker, count, lost, delay_us, span_us, load_report(message.get("report")))
    transaction_class = name_index.class_index(message.get("kind"))
    if kind == "SHARD":
        return (
            "demand_reported",
            require_integer(message, "partition", 0, setup.slice_count - 1),
            transaction_class,
            count,
            lost,
            span_us,
            reporter,
        )
    return (
        "usage_reported",
        require_integer(message, "sidecar", 0, setup.proxy_count - 1),
        transaction_class,
        count,
        lost,
        span_us,
        reporter,
    )
