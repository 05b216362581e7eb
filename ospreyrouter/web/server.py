"""An HTTP/1.1 server on a loop.

    Server(loop, address, handle, counts)
    handle(request)            # responds now or later with request.respond(status, headers, body)
    server.drain(on_done)      # at the end: responds to what was requested, then closes

A request that is malformed or too large is counted in `counts` and refused, and its connection is closed. To respond
again, or to a peer that is gone, has no effect.

No client may take all of the time or memory. Connections with unhandled input take turns, each for
CONNECTION_SLICE_US, all together for TURN_SLICE_US in a turn of the loop. All requests without a response together may
have `max_buffered` bytes; beyond that the connection with most of what is not handled yet is refused. Incomplete
requests and idle connections have deadlines.
"""

from collections import Counter, deque

from ..loop import AddressUnavailable
from .connection import Connection, Request

TURN_SLICE_US, CONNECTION_SLICE_US = 10_000, 1_000
MAX_BUFFERED = 64 << 20  # bytes
SWEEP_INTERVAL_US = 1_000_000
MAX_REQUEST_US = 30_000_000  # from the first byte of a request to its last
MAX_IDLE_US = 300_000_000  # without a request
MIN_IDLE_US = 1_000_000  # after which an idle connection may be closed for a new one, where there are too many
REFUSED_TIMEOUT_US = 500_000  # for the first request of a connection beyond the limit
DRAIN_QUIET_US = 50_000  # when draining: time for requests that are on their way to arrive
MAX_DRAIN_US = 1_000_000  # when draining: requests without a response after this time get 503
# The response on a connection beyond the limit, whatever it requests; a reset would leave the peer without one.
OVERLOADED = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\nretry-after: 1\r\n\r\n"


class Server:
    """See the top of this module. Raises AddressUnavailable.

    `max_body` and `max_buffered` are in bytes; connections beyond `max_connections` get 503. `buffered` is the number
    of bytes that are kept of requests without a response.
    """

    def __init__(
        self, loop, address, handle, counts=None, max_body=8 << 20, max_connections=4096, max_buffered=MAX_BUFFERED
    ):
        self.loop, self.handle, self.max_body, self.max_buffered = loop, handle, max_body, max_buffered
        self.buffered, self.runnable, self.run_scheduled = 0, deque(), False
        self.counts = Counter() if counts is None else counts
        # A dictionary in place of a set, for its order: simulated runs then end connections in the same order.
        self.connections, self.max_connections = {}, max_connections
        self.listener = loop.listen(address, self._accepted)
        self.address = self.listener.address
        self.draining, self.closed, self.on_drained = False, False, None
        self._sweep()

    def schedule(self, connection):
        """Give a connection time to handle its input."""
        if not connection.scheduled:
            connection.scheduled = True
            self.runnable.append(connection)
        if not self.run_scheduled:
            self.run_scheduled = True
            self.loop.soon(self._run)

    def _run(self):
        """Let connections handle their input in turn, for TURN_SLICE_US."""
        self.run_scheduled, deadline_us = False, self.loop.now() + TURN_SLICE_US
        try:
            while self.runnable:
                self._run_next()
                if self.loop.now() >= deadline_us:
                    break
        finally:  # an error at one connection does not stop the others
            if self.runnable and not self.run_scheduled:
                self.run_scheduled = True
                self.loop.soon(self._run)

    def _run_next(self):
        connection = self.runnable.popleft()
        connection.scheduled = False
        if connection.process(self.loop.now() + CONNECTION_SLICE_US):
            self.schedule(connection)
        if self.draining and connection.open:
            connection.end_if_idle()

    def count_buffered(self, connection):
        """Update `buffered` for a connection; if it is beyond the limit, the largest incomplete request is refused."""
        size = connection.buffered_bytes if connection in self.connections else 0
        self.buffered += size - connection.counted_bytes
        connection.counted_bytes = size
        if self.buffered > self.max_buffered:
            largest = max(self.connections, key=lambda other: other.unhandled_bytes, default=None)
            if largest is not None and largest.unhandled_bytes:
                largest.refuse_for_room()

    def _sweep(self):
        """Refuse requests that do not become complete, and close connections without any."""
        if self.closed:
            return
        self.loop.after(SWEEP_INTERVAL_US, self._sweep)
        now = self.loop.now()
        for connection in list(self.connections):
            if connection.pending_request is not None:
                continue
            if connection.began_us is not None and now - connection.began_us > MAX_REQUEST_US:
                connection.refuse(408, "incomplete for too long")
            elif connection.began_us is None and now - connection.idle_since_us > MAX_IDLE_US:
                self.counts["idle for too long"] += 1
                connection.close()

    def remove(self, connection):
        """Called by a connection that has ended."""
        self.connections.pop(connection, None)
        self.count_buffered(connection)
        if self.draining and not self.connections:
            self._drained()

    def _accepted(self, stream):
        if len(self.connections) >= self.max_connections and not self._close_longest_idle():
            self.counts["too many connections"] += 1
            self._refuse_connection(stream)
            return
        self.connections[Connection(self, stream)] = None

    def _close_longest_idle(self):
        """Close the connection that has been idle for longest; returns whether there was one."""
        now = self.loop.now()
        for connection in self.connections:
            is_idle = connection.pending_request is None and connection.began_us is None and not connection.refused
            if is_idle and now - connection.idle_since_us >= MIN_IDLE_US:
                self.counts["idle beyond the limit"] += 1
                connection.close()
                self.remove(connection)
                return True
        return False

    def _refuse_connection(self, stream):
        """Send 503 after the first request; reset the connection if none arrives within REFUSED_TIMEOUT_US."""

        def respond(data):
            stream.write(OVERLOADED)
            stream.close()

        stream.start(respond, None)
        self.loop.after(REFUSED_TIMEOUT_US, lambda: stream.abort("too many connections"))

    def drain(self, on_done):
        """Respond to the requests that arrive within DRAIN_QUIET_US, and close; for the end of the program.

        `on_done()` is called once, after MAX_DRAIN_US at the latest; requests without a response by then get 503.
        """
        self.on_drained = on_done
        self.loop.after(DRAIN_QUIET_US, self._close_idle)
        self.loop.after(MAX_DRAIN_US, self._give_up_all)

    def _close_idle(self):
        self.listener.accept_all()
        self.listener.close()
        self.draining = True
        for connection in list(self.connections):
            connection.end_if_idle()
        if not self.connections:
            self._drained()

    def _give_up_all(self):
        for connection in list(self.connections):
            connection.give_up()
        self._drained()

    def _drained(self):
        self.closed = True
        on_drained, self.on_drained = self.on_drained, None
        if on_drained is not None:
            on_drained()

    def close(self):
        """Close the listener and all connections without waiting for responses."""
        self.closed = True
        self.listener.close()
        for connection in list(self.connections):
            connection.close()


__all__ = ["AddressUnavailable", "Request", "Server"]
