"""The loop on real sockets: `selectors`, a timer heap on the monotonic clock, signals through a self-pipe.

    loop = Loop()
    loop.listen(("127.0.0.1", 0), accepted)
    loop.run()          # until loop.stop()

One thread, no asyncio. A turn handles what is ready, then the timers that are due.
"""

import errno
import os
import selectors
import signal
import socket
import time
from collections import Counter

from .streams import Refused, Stream
from .timers import TimerHeap

READ_AT_ONCE = 256 << 10
TIMERS_A_TURN = 500
# A dial that ends so never left this machine: it says nothing of the peer. EHOSTUNREACH is the network's answer.
LOCAL_ERRORS = ("eaddrnotavail", "enetunreach", "enetdown", "eagain", "emfile", "enfile", "enobufs", "enomem")
# The system is short of something for a moment: what was asked is asked again, no connection is at fault.
SHORTAGE = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
SHORTAGE_WAIT_US = 50_000
SHORTAGE_TRIES = 40  # at the start, where nothing else can be done meanwhile
BACKLOG, ACCEPTS_A_TURN = 512, 64
ACCEPT_RETRY_US, ACCEPT_RETRY_MOST_US = 5_000, 160_000
TURN_BUCKET_US = 250  # turns are counted by length in buckets of so much


def monotonic_us():
    """Microseconds on the machine's monotonic clock: the same for all processes of one machine."""
    return time.monotonic_ns() // 1000


def reason_of(code):
    """How a stream, a dial or the log names the error `code` of a system call: `econnreset`, for instance."""
    return errno.errorcode.get(code, "error").lower()


def through_shortage(create):
    """What `create()` returns, asked again through a shortage; for the few things the loop cannot begin without."""
    for _ in range(SHORTAGE_TRIES):
        try:
            return create()
        except OSError as problem:
            if problem.errno not in SHORTAGE:
                raise
        time.sleep(SHORTAGE_WAIT_US / 1e6)
    return create()


class SocketStream(Stream):
    """A connected non-blocking TCP socket with a bounded buffer of what is still to be written."""

    def __init__(self, loop, sock, peer):
        super().__init__(peer)
        self.loop, self.sock, self.out, self.out_size = loop, sock, [], 0
        self.closing, self.flush_due = False, False
        if sock.family != socket.AF_UNIX:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:  # it has been reset already, as its first read will tell
                pass
        self.mask = selectors.EVENT_READ
        loop.selector.register(sock, self.mask, self._ready)

    @property
    def unsent(self):
        return self.out_size

    def _watch(self):
        if not self.open:
            return
        mask = (selectors.EVENT_READ if self.reading else 0) | (selectors.EVENT_WRITE if self.out else 0)
        if mask != self.mask:
            if not self.mask:
                self.loop.selector.register(self.sock, mask, self._ready)
            elif mask:
                self.loop.selector.modify(self.sock, mask, self._ready)
            else:
                self.loop.selector.unregister(self.sock)
            self.mask = mask

    def _ready(self, mask):
        if mask & selectors.EVENT_WRITE and self.open:
            self._flush()
        if mask & selectors.EVENT_READ and self.open and self.reading:
            self._read()

    def _read(self):
        try:
            data = self.sock.recv(READ_AT_ONCE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as problem:
            if problem.errno not in SHORTAGE:
                self._finish(reason_of(problem.errno))
            return
        if data:
            self._hand_on(data)
        else:
            self._finish("closed by the peer")

    def _hand_on(self, data):
        self.bytes_in += len(data)
        if self.on_data is not None:
            self.on_data(data)

    def _cannot_write(self, reason):
        """The peer has gone. What it had said before is still heard: it may be the answer to the last request."""
        self.out, self.out_size, self.closing = [], 0, True
        self._read_what_has_come()
        self._finish(reason)

    def _read_what_has_come(self):
        """Returns whether the peer has closed its side."""
        try:
            while self.open and self.reading:
                data = self.sock.recv(READ_AT_ONCE)
                if not data:
                    return True
                self._hand_on(data)
        except OSError:  # nothing is left, or it was reset
            pass
        return False

    def write(self, data):
        if not self.open or self.closing:
            return
        self.out.append(bytes(data))
        self.out_size += len(data)
        if self.out_size > self.write_most:
            self.abort("does not read")
        elif not self.flush_due:
            # What one turn writes in pieces goes out in one call.
            self.flush_due = True
            self.loop.soon(self._flush_now)

    def _flush_now(self):
        self.flush_due = False
        if self.open:
            self._flush()

    def _flush(self):
        while self.out:
            data = self.out[0] if len(self.out) == 1 else b"".join(self.out)
            try:
                sent = self.sock.send(data)
            except (BlockingIOError, InterruptedError):
                self.out = [data]
                break
            except OSError as problem:
                if problem.errno in SHORTAGE:
                    self.out = [data]
                    break
                self._cannot_write(reason_of(problem.errno))
                return
            self.out_size -= sent
            self.bytes_out += sent
            self.out = [data[sent:]] if sent < len(data) else []
        if self.closing and not self.out:
            self._finish("closed here")
        else:
            self._watch()

    def close(self):
        if self.open and not self.closing:
            self.closing = True
            if not self.out:
                self._finish("closed here")

    def end(self):
        self._read_what_has_come()
        self.close()
        if self.open:
            self._flush()
        self._finish("closed here")

    def abort(self, reason="aborted"):
        if self.open:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            except OSError:
                pass
            self._finish(reason)

    def _finish(self, reason):
        if not self.open:
            return
        self.open = False
        if self.mask:
            self.loop.selector.unregister(self.sock)
            self.mask = 0
        self.sock.close()
        self.out, self.out_size = [], 0
        if self.on_closed is not None:
            self.loop.soon(lambda: self.on_closed(reason))

    def pause(self):
        self.reading = False
        self._watch()

    def resume(self):
        self.reading = True
        self._watch()


class Dial:
    """A connection on its way up; `cancel()` gives it up at once, and its descriptor with it, without a word."""

    def __init__(self, loop, address, timeout_us, on_done):
        self.loop, self.address, self.on_done = loop, address, on_done
        self.timer, self.sock = None, None
        try:
            self.sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            code = self.sock.connect_ex(address)
        except OSError as problem:  # not even a descriptor is left
            code = problem.errno
        if code not in (0, errno.EINPROGRESS, errno.EINTR):  # interrupted, it goes on by itself
            self._close()
            loop.counts[f"dial failed: {reason_of(code)}"] += 1
            loop.soon(lambda: self._settle(None, reason_of(code)))
            return
        self.timer = loop.after(timeout_us, self._too_late)
        loop.selector.register(self.sock, selectors.EVENT_WRITE, self._ready)

    def _ready(self, mask):
        if self.sock is None:  # given up by an earlier callback of this turn
            return
        failed = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self._close()
            self._settle(None, reason_of(failed))
            return
        self.timer.cancel()
        self.loop.selector.unregister(self.sock)
        sock, self.sock = self.sock, None
        self._settle(SocketStream(self.loop, sock, self.address), "")

    def _too_late(self):
        self._close()
        self._settle(None, "timed out")

    def _settle(self, stream, reason):
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            on_done(stream, reason)

    def _close(self):
        sock, self.sock = self.sock, None
        if sock is None:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.loop.selector.unregister(sock)
        sock.close()

    def cancel(self):
        self.on_done = None
        self._close()


class Listener:
    """A listening socket; `address` tells the port that was given out."""

    def __init__(self, loop, sock, on_stream):
        self.loop, self.sock, self.on_stream = loop, sock, on_stream
        self.address = sock.getsockname()[:2]
        self.paused, self.retry_us = False, ACCEPT_RETRY_US
        loop.selector.register(sock, selectors.EVENT_READ, self._ready)

    def _ready(self, mask):
        for _ in range(ACCEPTS_A_TURN):
            if self.sock.fileno() < 0:
                return
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                self.loop.counts[f"accept failed: {reason_of(problem.errno)}"] += 1
                if problem.errno in SHORTAGE:
                    self._pause()
                    return
                continue  # that caller has gone again; the next may wait behind it
            self.retry_us = ACCEPT_RETRY_US
            sock.setblocking(False)
            self.on_stream(SocketStream(self.loop, sock, peer[:2]))

    def take_all(self):
        """Accept who waits by now, of at most the backlog; they have been told that they are connected."""
        if not self.paused:
            for _ in range(BACKLOG // ACCEPTS_A_TURN):
                self._ready(selectors.EVENT_READ)

    def _pause(self):
        """Out of descriptors, or of memory: spinning on accept would starve everything else, and a caller waits for each
        moment that is lost. So it is tried again soon, and less and less often."""
        self.paused = True
        self.loop.selector.unregister(self.sock)
        self.loop.after(self.retry_us, self._resume)
        self.retry_us = min(ACCEPT_RETRY_MOST_US, self.retry_us * 2)

    def _resume(self):
        self.paused = False
        if self.sock.fileno() >= 0:
            self.loop.selector.register(self.sock, selectors.EVENT_READ, self._ready)

    def close(self):
        if self.sock.fileno() >= 0:
            try:
                self.loop.selector.unregister(self.sock)
            except KeyError:
                pass
            self.sock.close()


class Loop:
    """See the top of this module."""

    def __init__(self, clock=monotonic_us):
        self.clock, self.selector, self.timers = clock, through_shortage(selectors.DefaultSelector), TimerHeap()
        self.running, self.ready, self.pipe, self.handlers, self.on_fault = False, [], None, {}, None
        self.longest_turn_us, self.turns, self.busy_us, self.turn_counts = 0, 0, 0, [0] * 2000
        self.counts = Counter()  # failures of system calls, by call and error

    def now(self):
        return self.clock()

    def at(self, when_us, callback):
        return self.timers.at(when_us, callback)

    def after(self, us, callback):
        return self.timers.at(self.clock() + us, callback)

    def soon(self, callback):
        """Run `callback` later in this turn or early in the next."""
        self.ready.append(callback)

    def listen(self, address, on_stream, backlog=BACKLOG):
        """Listen on (host, port); port 0 lets the system choose. Raises Refused."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = through_shortage(lambda: socket.socket(family, socket.SOCK_STREAM))
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            through_shortage(lambda: sock.listen(backlog))
        except OSError as problem:
            sock.close()
            raise Refused(f"{address[0]}:{address[1]}: {problem.strerror}") from None
        sock.setblocking(False)
        return Listener(self, sock, on_stream)

    def connect(self, address, timeout_us, on_done):
        """Connect; `on_done(stream, reason)` is called once, with a stream or with None and why not.

        The Dial that is returned can be cancelled until then.
        """
        return Dial(self, address, timeout_us, on_done)

    def on_signal(self, number, callback):
        """Run `callback` on the loop after the signal; the handler itself only writes to the self-pipe."""
        if self.pipe is None:
            self.pipe = through_shortage(lambda: os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC))
            signal.set_wakeup_fd(self.pipe[1], warn_on_full_buffer=False)
            self.selector.register(self.pipe[0], selectors.EVENT_READ, self._signalled)
        self.handlers[number] = callback
        signal.signal(number, lambda *_: None)

    def ignore_signals(self):
        """For the end of the program: the interpreter gives each handled signal its default back while it ends, and one
        more of a series would kill it."""
        for number in self.handlers:
            signal.signal(number, signal.SIG_IGN)

    def _signalled(self, mask):
        for number in os.read(self.pipe[0], 4096):
            if number in self.handlers:
                self._call(self.handlers[number])  # a fault of one leaves the others their turn

    def stop(self):
        self.running = False

    def run(self, until_us=None):
        """Turn until `stop()` or until the clock passes `until_us`."""
        self.running = True
        while self.running and (until_us is None or self.clock() < until_us):
            self.turn(until_us)

    def _call(self, callback, *values):
        """A fault of one callback ends the program, unless somebody minds faults (`on_fault`)."""
        try:
            callback(*values)
        except Exception as problem:
            if self.on_fault is None:
                raise
            self.on_fault(problem)

    def turn(self, until_us=None):
        upcoming = self.timers.next_at()
        bounds = [when for when in (upcoming, until_us) if when is not None]
        wait = 0.0 if self.ready else max(0, min(bounds) - self.clock()) / 1e6 if bounds else None
        events = self.selector.select(wait)
        began = self.clock()
        for key, mask in events:
            self._call(key.data, mask)  # each minds by itself that an earlier callback may have closed it
        self._call(self.timers.due, self.clock(), TIMERS_A_TURN)
        ready, self.ready = self.ready, []
        for callback in ready:
            self._call(callback)
        self.turns += 1
        took = self.clock() - began
        self.longest_turn_us = max(self.longest_turn_us, took)
        self.turn_counts[min(len(self.turn_counts) - 1, took // TURN_BUCKET_US)] += 1
        self.busy_us += took

    def turn_quantile_us(self, part):
        """The time within which that part of all turns ended, to TURN_BUCKET_US."""
        left = part * self.turns
        for place, count in enumerate(self.turn_counts):
            left -= count
            if left <= 0:
                return (place + 1) * TURN_BUCKET_US
        return self.longest_turn_us
