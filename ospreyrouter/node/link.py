"""One connection to a peer that is dialled until it is there, with back-off after each failure.

    link = Link(loop, chance, on_up, on_data, on_down)
    link.dial(address)        # at once, or when the back-off is over; without effect while it is up or on its way
    link.drop(reason)         # it is of no more use: `on_down(reason)`, who may dial again
    link.close()              # nobody is told

States: down (no dial, no stream), on its way (`pending` is the back-off's timer or the dial), up (`stream`). Whatever
an earlier dial or stream has to say is not heard: a dial is cancelled, a stream is compared.
"""

from ..loop import LOCAL_ERRORS

DIAL_US = 500_000
BACKOFF_US, BACKOFF_MOST_US = 20_000, 640_000


class Link:
    """`backoff_us` grows with failures and is reset by `well()`."""

    def __init__(self, loop, chance, on_up, on_data, on_down):
        self.loop, self.chance, self.stream, self.pending = loop, chance, None, None
        self.on_up, self.on_data, self.on_down = on_up, on_data, on_down
        self.backoff_us, self.dials, self.not_before, self.address = 0, 0, 0, None
        self.timer = None  # bounds what the connection is waited for

    @property
    def usable(self):
        """Up, and not about to be told that it has ended."""
        return self.stream is not None and self.stream.open

    def dial(self, address):
        if self.pending is None and self.stream is None:
            self.address, wait = address, self.not_before - self.loop.now()
            self.pending = self.loop.after(wait, self._begin) if wait > 0 else None
            if self.pending is None:
                self._begin()

    def _begin(self):
        self.dials += 1
        self.pending = self.loop.connect(self.address, DIAL_US, self._dialled)

    def _dialled(self, stream, reason):
        self.pending = None
        if stream is None:
            self.drop(reason)
            return
        self.stream = stream
        stream.start(
            lambda data: self.stream is stream and self.on_data(data),
            lambda reason: self.stream is stream and self.drop(reason),
        )
        self.on_up()

    def bound(self, us, reason):
        """Give the connection up when so long has passed, unless it is bound anew until then."""
        self.unbound()
        self.timer = self.loop.after(us, lambda: self.drop(reason))

    def unbound(self):
        self.timer = self.timer and self.timer.cancel()

    def well(self):
        self.backoff_us = 0

    def drop(self, reason):
        """Give this connection up; what was awaited on it is in doubt."""
        # A dial that never left this machine says nothing of the peer, which is not spared by waiting longer.
        left_this_machine = self.stream is not None or reason not in LOCAL_ERRORS
        self.close()
        wait_us = self.backoff_us if left_this_machine else BACKOFF_US
        self.not_before = self.loop.now() + int(wait_us * self.chance.uniform(0.8, 1.2))
        if left_this_machine:
            self.backoff_us = min(BACKOFF_MOST_US, max(BACKOFF_US, self.backoff_us * 2))
        self.on_down(reason)

    def close(self):
        self.unbound()
        self.pending = self.pending and self.pending.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.abort()
