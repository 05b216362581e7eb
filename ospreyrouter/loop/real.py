"""The event loop on real sockets: `selectors`, timers on the monotonic clock, signals through a self-pipe.

    loop = Loop()
    loop.listen(("127.0.0.1", 0), accepted)
    loop.run()          # until loop.stop()

It uses one thread and no asyncio. A turn of the loop handles the sockets that are ready, then the timers that are
due, then the callbacks given to `soon`.
"""

import os
import selectors
import signal
import socket
import time
from collections import Counter

from .sockets import BACKLOG, SHORTAGE, Dial, Listener
from .streams import AddressUnavailable
from .timers import TimerHeap

MAX_TIMERS_PER_TURN = 500
SHORTAGE_WAIT_US = 50_000
MAX_SHORTAGE_TRIES = 40  # 2 s in all; blocking is acceptable at start, when there is nothing else to do
TURN_BUCKET_US = 250  # width of the buckets in which turns are counted by their duration


def monotonic_us():
    """Microseconds on the monotonic clock, which all processes of a machine share."""
    return time.monotonic_ns() // 1000


def retry_on_shortage(create):
    """The result of `create()`, tried again while the system lacks resources; for what a loop cannot start without."""
    for _ in range(MAX_SHORTAGE_TRIES):
        try:
            return create()
        except OSError as error:
            if error.errno not in SHORTAGE:
                raise
        time.sleep(SHORTAGE_WAIT_US / 1e6)
    return create()


class Loop:
    """See the top of this module.

    `on_exception(error)`, if set, gets the exceptions of callbacks; otherwise they end `run`.
    """

    def __init__(self, clock=monotonic_us):
        self.clock, self.selector, self.timers = clock, retry_on_shortage(selectors.DefaultSelector), TimerHeap()
        self.running, self.callbacks, self.wakeup_pipe, self.handlers, self.on_exception = False, [], None, {}, None
        self.longest_turn_us, self.turns, self.busy_us, self.turn_histogram = 0, 0, 0, [0] * 2000
        self.counts = Counter()  # failed system calls, by call and error

    def now(self):
        """The time on the clock of this loop, in microseconds."""
        return self.clock()

    def at(self, when_us, callback):
        """Run `callback()` at `when_us` on this loop's clock; returns a Timer."""
        return self.timers.at(when_us, callback)

    def after(self, us, callback):
        """Run `callback()` after `us` microseconds; returns a Timer."""
        return self.timers.at(self.clock() + us, callback)

    def soon(self, callback):
        """Run `callback()` later in this turn, or at the end of the next."""
        self.callbacks.append(callback)

    def listen(self, address, on_stream, backlog=BACKLOG):
        """Listen on (host, port) and call `on_stream(stream)` for each connection; returns a Listener.

        Port 0 lets the system choose. Raises AddressUnavailable.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = retry_on_shortage(lambda: socket.socket(family, socket.SOCK_STREAM))
        try:
            retry_on_shortage(lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1))
            retry_on_shortage(lambda: sock.bind(address))
            retry_on_shortage(lambda: sock.listen(backlog))
        except OSError as error:
            sock.close()
            raise AddressUnavailable(f"{address[0]}:{address[1]}: {error.strerror}") from None
        sock.setblocking(False)
        return Listener(self, sock, on_stream)

    def connect(self, address, timeout_us, on_done):
        """Connect; `on_done(stream, reason)` is called once, with a stream, or with None and the reason of the failure.

        Returns a Dial, which can be cancelled until then.
        """
        return Dial(self, address, timeout_us, on_done)

    def on_signal(self, number, callback):
        """Run `callback()` on the loop after a signal; the signal handler itself only writes to the self-pipe."""
        if self.wakeup_pipe is None:
            self.wakeup_pipe = retry_on_shortage(lambda: os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC))
            signal.set_wakeup_fd(self.wakeup_pipe[1], warn_on_full_buffer=False)
            self.selector.register(self.wakeup_pipe[0], selectors.EVENT_READ, self._run_signal_handlers)
        self.handlers[number] = callback
        signal.signal(number, lambda *_: None)

    def ignore_signals(self):
        """Ignore the handled signals from now on; for the end of the program.

        The interpreter restores the default handlers while it exits, so that a repeated signal would kill it.
        """
        for number in self.handlers:
            signal.signal(number, signal.SIG_IGN)

    def _run_signal_handlers(self, mask):
        for number in os.read(self.wakeup_pipe[0], 4096):
            if number in self.handlers:
                self._call(self.handlers[number])  # an error of one does not keep the others from running

    def stop(self):
        """Let `run` return at the end of the current turn."""
        self.running = False

    def run(self, until_us=None):
        """Run turns until `stop()` is called or the clock passes `until_us`."""
        self.running = True
        while self.running and (until_us is None or self.clock() < until_us):
            self.turn(until_us)

    def _call(self, callback, *values):
        """Run a callback; its exceptions go to `on_exception` if that is set, else to the caller of `run`."""
        try:
            callback(*values)
        except Exception as error:
            if self.on_exception is None:
                raise
            self.on_exception(error)

    def turn(self, until_us=None):
        """Wait for an event, at most until the next timer or `until_us`, and run everything that is due."""
        next_us = self.timers.next_at()
        deadlines = [when_us for when_us in (next_us, until_us) if when_us is not None]
        timeout_s = 0.0 if self.callbacks else max(0, min(deadlines) - self.clock()) / 1e6 if deadlines else None
        events = self.selector.select(timeout_s)
        started_us = self.clock()
        for key, mask in events:
            self._call(key.data, mask)  # each checks whether an earlier callback has closed its socket
        self._call(self.timers.run_due, self.clock(), MAX_TIMERS_PER_TURN)
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            self._call(callback)
        self.turns += 1
        duration_us = self.clock() - started_us
        self.longest_turn_us = max(self.longest_turn_us, duration_us)
        self.turn_histogram[min(len(self.turn_histogram) - 1, duration_us // TURN_BUCKET_US)] += 1
        self.busy_us += duration_us

    def turn_quantile_us(self, fraction):
        """The duration that this fraction of all turns did not exceed, rounded up to TURN_BUCKET_US."""
        remaining = fraction * self.turns
        for bucket, count in enumerate(self.turn_histogram):
            remaining -= count
            if remaining <= 0:
                return (bucket + 1) * TURN_BUCKET_US
        return self.longest_turn_us
