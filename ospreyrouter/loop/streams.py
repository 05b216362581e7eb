"""The interface of a byte stream, whichever loop it belongs to.

Call `stream.start(on_data, on_closed)` once, then `write`, and finally `close` (which still sends all that was written)
or `abort`. `on_data(bytes)` gets each piece that arrives. `on_closed(reason)` is called once and never from inside
`write`, `close` or `abort`; the reason is a short text such as `closed by the peer` or `econnreset`.
"""

MAX_UNSENT = 4 << 20  # bytes that may wait to be sent; beyond this the peer counts as not reading and is closed


class AddressUnavailable(Exception):
    """An address cannot be listened on; the text gives the address and the reason."""


class Stream:
    """State that streams of both loops have; subclasses implement the transport.

    `peer` is the address of the other end, `max_unsent` the limit of `unsent` in bytes. `read_size`: bytes that
    are read in one turn of the loop at most, where the transport reads.
    """

    def __init__(self, peer, max_unsent=MAX_UNSENT):
        self.peer, self.max_unsent = peer, max_unsent
        self.on_data = self.on_closed = None
        self.open, self.reading, self.read_size = True, True, None
        self.bytes_in = self.bytes_out = 0

    def start(self, on_data, on_closed):
        """Set the callbacks; either may be None."""
        self.on_data, self.on_closed = on_data, on_closed

    @property
    def unsent(self):
        """Number of bytes that were written but not yet accepted by the transport or peer."""
        raise NotImplementedError

    @property
    def unread_bytes(self):
        """Number of bytes that have arrived and were not delivered yet, as far as that is known."""
        return 0

    def write(self, data):
        """Send bytes, buffered; ignored once the stream is closing."""
        raise NotImplementedError

    def close(self):
        """Close once all that was written has been sent."""
        raise NotImplementedError

    def read_now(self, max_bytes=None):
        """Deliver what has arrived by now, at most `max_bytes`, without waiting for the loop to notice it."""
        raise NotImplementedError

    def flush_and_close(self, max_bytes=None):
        """Deliver what has arrived by now, at most `max_bytes`, send the answers to it, and close at once."""
        raise NotImplementedError

    def linger_and_close(self, us):
        """Send what was written, then discard what arrives until the peer closes, for `us` microseconds at most."""
        raise NotImplementedError

    def abort(self, reason="aborted"):
        """Close at once and drop what was not sent; the peer sees a reset."""
        raise NotImplementedError

    def pause(self):
        """Stop reading, so that the transport slows down the peer."""
        raise NotImplementedError

    def resume(self):
        """Read again after `pause`."""
        raise NotImplementedError
