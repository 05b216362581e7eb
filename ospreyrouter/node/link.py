"""A connection to a peer that is dialled until it is established, with a back-off after each failure.

    link = Link(loop, rng, on_up, on_data, on_down)
    link.dial(address)        # at once or when the back-off is over; no effect while it is up or being dialled
    link.drop(reason)         # give the connection up; calls `on_down(reason)`, which may dial again
    link.close()              # close it without a callback

A link is down (no dial, no stream), being dialled (`pending` is the timer of the back-off or the dial), or up (`stream`
is set). Callbacks of earlier dials and streams have no effect: a dial is cancelled, and a stream is compared with the
present one.
"""

from ..loop import LOCAL_ERRORS

DIAL_TIMEOUT_US = 500_000
MIN_BACKOFF_US, MAX_BACKOFF_US = 20_000, 640_000


class Link:
    """One connection at a time to a peer.

    `on_up()`, `on_data(bytes)` and `on_down(reason)` are its callbacks; `rng` varies the back-off. `backoff_us` is the
    wait after the next failure; it doubles with each one and `reset_backoff` resets it. `dials` counts attempts.
    """

    def __init__(self, loop, rng, on_up, on_data, on_down):
        self.loop, self.rng, self.stream, self.pending = loop, rng, None, None
        self.on_up, self.on_data, self.on_down = on_up, on_data, on_down
        self.backoff_us, self.dials, self.next_dial_us, self.address = 0, 0, 0, None
        self.timer = None  # drops the connection when what it is expected to deliver does not arrive in time

    @property
    def usable(self):
        """Whether it is up and its stream has not ended, even if that end is still to be reported."""
        return self.stream is not None and self.stream.open

    def dial(self, address):
        """Connect to `address` (host, port), unless the link is up or being dialled."""
        if self.pending is None and self.stream is None:
            self.address, wait = address, self.next_dial_us - self.loop.now()
            self.pending = self.loop.after(wait, self._connect) if wait > 0 else None
            if self.pending is None:
                self._connect()

    def _connect(self):
        self.dials += 1
        self.pending = self.loop.connect(self.address, DIAL_TIMEOUT_US, self._connected)

    def _connected(self, stream, reason):
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

    def set_timeout(self, timeout_us, reason):
        """Drop the connection with this reason after that time, unless the timeout is set anew or cleared before."""
        self.clear_timeout()
        self.timer = self.loop.after(timeout_us, lambda: self.drop(reason))

    def clear_timeout(self):
        """Cancel the timeout, if one is set."""
        self.timer = self.timer and self.timer.cancel()

    def reset_backoff(self):
        """The peer works: dial at once after the next failure."""
        self.backoff_us = 0

    def drop(self, reason):
        """Give up the connection or the dial and call `on_down(reason)`."""
        # A failure on this machine says nothing about the peer, so a longer back-off would not relieve the peer.
        reached_network = self.stream is not None or reason not in LOCAL_ERRORS
        self.close()
        wait_us = self.backoff_us if reached_network else MIN_BACKOFF_US
        self.next_dial_us = self.loop.now() + int(wait_us * self.rng.uniform(0.8, 1.2))
        if reached_network:
            self.backoff_us = min(MAX_BACKOFF_US, max(MIN_BACKOFF_US, self.backoff_us * 2))
        self.on_down(reason)

    def close(self):
        """Close the connection or cancel the dial, without calling `on_down`."""
        self.clear_timeout()
        self.pending = self.pending and self.pending.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.abort()
