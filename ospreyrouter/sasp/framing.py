"""Cuts a stream of bytes into whole SASP messages."""

import struct

from . import numbers
from .messages import MAX_MESSAGE_BYTES, InvalidMessage


class Framer:
    """Buffers the bytes of at most one incomplete message, which has up to `max_bytes`."""

    def __init__(self, max_bytes=MAX_MESSAGE_BYTES):
        self.data, self.max_bytes = bytearray(), max_bytes

    def feed(self, data):
        """Adds received bytes and returns the messages that are complete now.

        Raises InvalidMessage with `framed` False if the bytes are no SASP header; no later message can be found then.
        """
        self.data += data
        messages, offset = [], 0
        while len(self.data) - offset >= numbers.HEADER_LENGTH:
            header, length, _, total, _ = struct.unpack_from("!HHBII", self.data, offset)
            if (
                header != numbers.HEADER
                or length != numbers.HEADER_LENGTH
                or not numbers.HEADER_LENGTH + 4 <= total <= self.max_bytes
            ):
                raise InvalidMessage("not a SASP message header", framed=False)
            if len(self.data) - offset < total:
                break
            messages.append(bytes(self.data[offset : offset + total]))
            offset += total
        del self.data[:offset]
        return messages
