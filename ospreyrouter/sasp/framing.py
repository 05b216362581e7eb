"""A stream of bytes cut into whole messages. `feed(data)` returns them; raises BadMessage once framing is lost."""

import struct

from . import numbers as n
from .messages import MESSAGE_MOST, BadMessage


class Framer:
    """Holds at most one message that has not wholly come."""

    def __init__(self, most=MESSAGE_MOST):
        self.data, self.most = bytearray(), most

    def feed(self, data):
        self.data += data
        out, place = [], 0
        while len(self.data) - place >= n.HEADER_LENGTH:
            header, length, _, total, _ = struct.unpack_from("!HHBII", self.data, place)
            if header != n.HEADER or length != n.HEADER_LENGTH or not n.HEADER_LENGTH + 4 <= total <= self.most:
                raise BadMessage("the header is none", framed=False)
            if len(self.data) - place < total:
                break
            out.append(bytes(self.data[place : place + total]))
            place += total
        del self.data[:place]
        return out
