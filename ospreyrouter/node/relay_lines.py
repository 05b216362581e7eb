"""The text lines exchanged with the relay: orders in calls, answers, and news. No I/O.

text = share_order(4, "s-5be2a07c", 1.5)
data = encode_call([text, ...])             # the bytes of one call
parse_answer(b"OK 2")                       # ("taken", 2), ("refused", "throttled"), or None if it is unreadable
parse_news(b"* CLOSED 17")                  # ("CLOSED", 17), () for a keep-alive line; raises UnreadableMessage
"""

import math

from .frames import UnreadableMessage

MAX_LINE = 64 << 10  # bytes
MAX_CALL_BYTES = 60_000  # of the orders in one call
CALL, FOLLOW = b"txn ", b"follow\r\n"
ERRORS = ("throttled", "conflict", "internal", "invalid")


class LineReader:
    """Splits a stream of bytes into lines of at most `max_length` bytes; `partial` is the beginning of the next one."""

    __slots__ = ("partial", "end", "max_length")

    def __init__(self, end=b"\r\n", max_length=MAX_LINE):
        self.partial, self.end, self.max_length = b"", end, max_length

    def feed(self, data):
        """The lines that `data` completes, without their ends. Raises UnreadableMessage if one is too long."""
        *lines, self.partial = (self.partial + data if self.partial else data).split(self.end)
        if len(self.partial) > self.max_length or any(len(line) > self.max_length for line in lines):
            raise UnreadableMessage("a line without end")
        return lines


def is_valid_name(name):
    """Whether a name can be written in an order: it has no separator, no wildcard, no space or control character."""
    return 0 < len(name) <= 255 and not any(
        character in ",;*" or not character.isprintable() or character.isspace() for character in name
    )


def format_number(value):
    """A number with six significant digits."""
    return f"{value:.6g}"


def share_order(table, name, weight):
    """The order that sets the weight of a worker in a table."""
    return f"share,{table},{name},{format_number(weight)}"


def clear_order(table):
    """The order that removes all lines of a table."""
    return f"clear,{table}"


def withdraw_order(name, withheld):
    """The order that withdraws a worker from all proxies or restores it."""
    return f"{'withdraw' if withheld else 'restore'},{name}"


def admit_order(table, names, amount, retry):
    """The order that sets an admission level; `table` None means all tables, no `names` means all classes."""
    return f"admit,{'*' if table is None else table},{'+'.join(names) or '*'},{format_number(amount)},{retry}"


def mark_order(number, all_proxies):
    """The order that asks proxies to acknowledge a mark."""
    return f"mark,{number},{int(all_proxies)}"


def encode_call(orders):
    """The bytes of a call with the given orders."""
    return CALL + ";".join(orders).encode() + b"\r\n"


def parse_answer(line):
    """The meaning of an answer as a pair, see the top of this module.

    None if it is unreadable, so that it is unknown whether the call was carried out.
    """
    words = line.split(b" ")
    if len(words) == 2 and words[0] == b"OK" and words[1].isdigit() and len(words[1]) < 7:
        return ("taken", int(words[1]))
    if line == b"OK":
        return ("following", 0)
    try:
        text_words = line.decode("ascii").replace(",", " ").split()
    except UnicodeDecodeError:
        return None
    errors = [word for word in text_words if word in ERRORS]
    return ("refused", errors[0]) if len(errors) == 1 and len(text_words) <= 3 else None


# The texts of these errors become names of counters ("news broken: ...").


def _parse_integer(word, max_value=1 << 31):
    if not word.isdigit() or len(word) > 10 or int(word) > max_value:
        raise UnreadableMessage(f"no whole number: {word[:20]!r}")
    return int(word)


def _parse_number(word):
    try:
        value = float(word)
    except ValueError:
        raise UnreadableMessage(f"no number: {word[:20]!r}") from None
    if not (math.isfinite(value) and value >= 0.0):
        raise UnreadableMessage(f"out of range: {word[:20]!r}")
    return value


def _parse_flag(word):
    if word not in (b"0", b"1"):
        raise UnreadableMessage(f"neither 0 nor 1: {word[:20]!r}")
    return word == b"1"


def _parse_text(word):
    try:
        return word.decode()
    except UnicodeDecodeError:
        raise UnreadableMessage("no text") from None


NEWS_FIELDS = {
    b"SUBSCRIBE": (_parse_integer, _parse_text, _parse_number, _parse_flag),
    b"CLOSED": (_parse_integer,),
    b"ACK": (_parse_integer, _parse_integer, _parse_number),
    b"GRANT": (_parse_integer, _parse_flag),
    b"ROW": (_parse_integer, _parse_text, _parse_number),
}


def parse_news(line):
    """One line of news as a tuple of its kind and values; () for a keep-alive line. Raises UnreadableMessage."""
    star, *words = line.split(b" ")
    if star != b"*":
        raise UnreadableMessage("no news")
    if not words:
        return ()
    parsers = NEWS_FIELDS.get(words[0])
    if parsers is None or len(words) != len(parsers) + 1:
        raise UnreadableMessage(f"unknown news: {line[:40]!r}")
    return (words[0].decode(), *(parse(word) for parse, word in zip(parsers, words[1:])))
