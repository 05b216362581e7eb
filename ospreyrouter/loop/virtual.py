"""The event loop in virtual time: an in-memory network whose hosts can be killed, paused and disconnected.

    network = VirtualNetwork(seed=1)
    host = network.host("manager-0")       # has the interface of Loop
    network.run(until_us=60_000_000)
    host.kill(); host.pause(); host.resume(); network.cut("a", "b")

Runs with the same seed are identical: events are ordered by time and order of scheduling, and delays come from one
`random.Random`. Times are microseconds.
"""

from random import Random

from .streams import AddressUnavailable, Stream
from .timers import TimerHeap


class VirtualStream(Stream):
    """One end of a connection between two hosts; data arrives in order after the delay of the network.

    `remote` is the other end. `arrived` holds what has arrived but was not delivered yet: bytes, a text (the reason of
    an abort) or None (the end of the stream).
    """

    def __init__(self, host, peer):
        super().__init__(peer)
        self.host, self.remote, self.in_flight, self.arrived, self.last_arrival_us = host, None, 0, [], 0
        host.streams[self] = None

    @property
    def unsent(self):
        """Number of bytes that were written and that the peer has not read."""
        return self.in_flight

    def write(self, data):
        """Send bytes; ignored once the stream is closing, and aborted beyond `max_unsent`."""
        if not self.open or self.close_sent:
            return
        self.in_flight += len(data)
        self.bytes_out += len(data)
        if self.in_flight > self.max_unsent:
            self.abort("does not read")
            return
        self._send(bytes(data))

    close_sent = False  # whether the end of the stream was sent

    def _send(self, data):
        network, remote = self.host.network, self.remote
        if network.is_cut(self.host.name, remote.host.name):
            return  # the data is lost, and the sender does not notice
        self.last_arrival_us = max(self.last_arrival_us, network.time + network.delay())
        network.timers.at(self.last_arrival_us, lambda: remote._arrive(data))

    def _arrive(self, data):
        if self.host.network.is_cut(self.host.name, self.remote.host.name):
            return
        if self.open:
            self.arrived.append(data)
            self._deliver()

    def _deliver(self):
        if self.host.paused:
            self.host.deferred.append(self._deliver)
            return
        while self.arrived and self.open and self.reading and not self.host.paused:
            data = self.arrived.pop(0)
            if data is None:
                self._finish("closed by the peer")
            elif isinstance(data, str):
                self._finish(data)
            else:
                self.bytes_in += len(data)
                self.remote.in_flight -= len(data)
                if self.on_data is not None:
                    self.on_data(data)

    def close(self):
        """Close; the peer still gets all that was written."""
        if self.open:
            self.close_sent = True
            self._send(None)
            self._finish("closed here")

    def read_now(self, max_bytes=None):
        """Deliver what has arrived by now; arrivals are few, so all of it."""
        self._deliver()

    def flush_and_close(self, max_bytes=None):
        """Deliver what has arrived by now, and close."""
        self.read_now()
        self.close()

    def linger_and_close(self, us):
        """Close; here that loses nothing that was written."""
        self.close()

    def abort(self, reason="aborted"):
        """Close at once; the peer sees a reset."""
        if self.open:
            self._send("econnreset")
            self._finish(reason)

    def _finish(self, reason):
        if not self.open:
            return
        self.open = False
        self.host.streams.pop(self, None)
        if self.on_closed is not None:
            self.host.soon(lambda: self.on_closed(reason))

    def pause(self):
        """Stop reading, so that written bytes stay in flight at the peer."""
        self.reading = False

    def resume(self):
        """Go on reading."""
        self.reading = True
        if self.arrived:
            self.host.soon(self._deliver)


class VirtualDial:
    """A connection that is being established; same interface as `sockets.Dial`."""

    def __init__(self, host, address, timeout_us, on_done):
        self.host, self.address, self.on_done = host, address, on_done
        network = host.network
        self.timer = host.after(timeout_us, lambda: self._complete(None, "timed out"))
        network.timers.at(network.time + network.delay(), self._arrive)

    def _arrive(self):
        host, network = self.host, self.host.network
        listener = network.listeners.get(self.address)
        if self.on_done is None or listener is not None and network.is_cut(host.name, listener.host.name):
            return  # cancelled, or lost on the way and left to time out
        if listener is None or not listener.host.alive:
            host.at(network.time + network.delay(), lambda: self._complete(None, "econnrefused"))
            return
        if not host.alive:
            return
        near, far = VirtualStream(host, self.address), VirtualStream(listener.host, (host.name, 0))
        near.remote, far.remote = far, near
        listener.host.soon(lambda: listener.on_stream(far))
        host.at(network.time + network.delay(), lambda: self._complete(near, ""))

    def _complete(self, stream, reason):
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            self.timer.cancel()
            on_done(stream, reason)
        elif stream is not None:
            stream.abort("given up")

    def cancel(self):
        """Give up; `on_done` is not called."""
        self.on_done = None
        self.timer.cancel()


class VirtualListener:
    """A listener; same interface as `sockets.Listener`."""

    paused = False  # it never lacks descriptors or memory

    def __init__(self, host, address, on_stream):
        self.host, self.address, self.on_stream = host, address, on_stream

    def accept_all(self):
        pass  # connections never wait to be accepted

    def close(self):
        """Stop listening; streams that were accepted stay open."""
        self.host.network.listeners.pop(self.address, None)


class VirtualHost:
    """One process, with the interface of `Loop`. While it is paused its callbacks are deferred."""

    def __init__(self, network, name):
        self.network, self.name, self.alive, self.paused = network, name, True, False
        self.streams, self.deferred, self.counts = {}, [], {}

    def now(self):
        """The time of the network's clock, in microseconds."""
        return self.network.time

    def _when_running(self, callback):
        """Wrap a callback: it is dropped once the process has ended, and deferred while it is paused."""

        def run():
            if not self.alive:
                return
            if self.paused:
                self.deferred.append(run)
            else:
                callback()

        return run

    def at(self, when_us, callback):
        """Run `callback()` at `when_us`; returns a Timer."""
        return self.network.timers.at(max(when_us, self.network.time), self._when_running(callback))

    def after(self, us, callback):
        """Run `callback()` after `us` microseconds; returns a Timer."""
        return self.at(self.network.time + us, callback)

    def soon(self, callback):
        """Run `callback()` at the present time, after the event that is being processed."""
        self.at(self.network.time, callback)

    def listen(self, address, on_stream, backlog=512):
        """Listen on (host, port), port 0 for any free one. Raises AddressUnavailable if the address is in use."""
        if address[1] == 0:
            self.network.ports += 1
            address = (address[0], self.network.ports)
        if address in self.network.listeners:
            raise AddressUnavailable(f"{address[0]}:{address[1]}: Address already in use")
        listener = self.network.listeners[address] = VirtualListener(self, address, on_stream)
        return listener

    def connect(self, address, timeout_us, on_done):
        """Connect; `on_done(stream, reason)` is called once, with None and the reason after a failure."""
        return VirtualDial(self, address, timeout_us, on_done)

    def kill(self):
        """End the process: none of its callbacks runs again, and its streams are reset."""
        for stream in list(self.streams):
            stream.on_closed = None
            stream.abort("killed")
        self.alive, self.deferred = False, []
        for address in [key for key, listener in self.network.listeners.items() if listener.host is self]:
            del self.network.listeners[address]

    def pause(self):
        """Suspend the process; its streams stay open and fill up."""
        self.paused = True

    def resume(self):
        """Run what was deferred since `pause`, and go on."""
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for callback in deferred:
            self.network.timers.at(self.network.time, callback)

    def stop(self):
        """End the process, as `kill`."""
        self.kill()


class VirtualNetwork:
    """The clock, delays, listeners and cut connections of all hosts.

    `delay_us` gives the bounds of the random delay of each message.
    """

    def __init__(self, seed=0, start_us=1_000_000_000, delay_us=(50, 400)):
        self.rng, self.time, self.delay_us = Random(seed), start_us, delay_us
        self.timers, self.listeners, self.ports, self.cuts = TimerHeap(), {}, 20_000, set()

    def host(self, name):
        """A new host; several may have the same name and then share its cuts."""
        return VirtualHost(self, name)

    def delay(self):
        """A random delay in microseconds."""
        return self.rng.randint(*self.delay_us)

    def cut(self, first, second):
        """Lose all data between two hosts, in both directions, until `restore`."""
        self.cuts.add(frozenset((first, second)))

    def restore(self, first, second):
        """End the effect of `cut` for later data."""
        self.cuts.discard(frozenset((first, second)))

    def is_cut(self, first, second):
        """Whether data between two hosts is lost at present."""
        return bool(self.cuts) and frozenset((first, second)) in self.cuts

    def run(self, until_us, max_events=50_000_000):
        """Run all events up to `until_us`. Raises RuntimeError after `max_events`, as the run might never end."""
        for _ in range(max_events):
            next_us = self.timers.next_at()
            if next_us is None or next_us > until_us:
                self.time = until_us
                return
            self.time = max(self.time, next_us)
            self.timers.run_due(self.time, 1)
        raise RuntimeError(f"more than {max_events} events before {until_us}")
