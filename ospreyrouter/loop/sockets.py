"""Sockets on the event loop: connected streams, connections being established, listeners. All are non-blocking.

Each object takes a `real.Loop` and uses its selector, its timers and its `counts` of failed system calls.
"""

import errno
import fcntl
import selectors
import socket
import struct
import termios

from .streams import Stream

READ_SIZE = 64 << 10  # bytes that one connection may deliver in a turn of the loop
# The system lacks resources for a moment: the call is repeated later, and the connection is not at fault.
SHORTAGE = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
TRANSIENT_ERRORS = SHORTAGE | {errno.EAGAIN, errno.EINTR}
MAX_CONSECUTIVE_FAILURES = 3  # of a read or write that cannot be continued in a later turn; then it is given up
BACKLOG, MAX_ACCEPTS_PER_TURN = 512, 64
ACCEPT_RETRY_US, MAX_ACCEPT_RETRY_US = 5_000, 160_000


def error_name(code):
    """The name of the error number `code` in reasons, counters and the log, for example `econnreset`."""
    return errno.errorcode.get(code, "error").lower()


# Reasons of connection attempts that failed on this machine and so say nothing about the peer. EHOSTUNREACH is not
# among them, as it is an answer of the network.
LOCAL_ERRORS = frozenset(
    map(error_name, SHORTAGE | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN})
)


class SocketStream(Stream):
    """A connected non-blocking socket with a bounded write buffer."""

    def __init__(self, loop, sock, peer):
        super().__init__(peer)
        self.loop, self.sock, self.write_buffer, self.unsent_bytes = loop, sock, [], 0
        self.closing, self.flush_scheduled, self.read_size = False, False, READ_SIZE
        self.lingering = False  # the sending side is closed once all is sent; what arrives is discarded
        if sock.family != socket.AF_UNIX:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:  # it was reset already, which its first read will report
                pass
        self.events = selectors.EVENT_READ
        loop.selector.register(sock, self.events, self._ready)

    @property
    def unsent(self):
        """Number of bytes in the write buffer."""
        return self.unsent_bytes

    def _update_events(self):
        if not self.open:
            return
        events = (selectors.EVENT_READ if self.reading else 0) | (selectors.EVENT_WRITE if self.write_buffer else 0)
        if events != self.events:
            if not self.events:
                self.loop.selector.register(self.sock, events, self._ready)
            elif events:
                self.loop.selector.modify(self.sock, events, self._ready)
            else:
                self.loop.selector.unregister(self.sock)
            self.events = events

    def _ready(self, mask):
        if mask & selectors.EVENT_WRITE and self.open:
            self._flush()
        if mask & selectors.EVENT_READ and self.open and self.reading:
            self._read()

    def _read(self):
        try:
            data = self.sock.recv(self.read_size)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno not in SHORTAGE:
                self._finish(error_name(error.errno))
            return
        if data:
            self._deliver(data)
        else:
            self._finish("closed by the peer")

    def _deliver(self, data):
        self.bytes_in += len(data)
        if self.on_data is not None:
            self.on_data(data)

    def _write_failed(self, reason):
        """The peer is gone. What it sent before is still delivered: it may be the answer to the last request."""
        self.write_buffer, self.unsent_bytes, self.closing = [], 0, True
        self.read_now()
        self._finish(reason)

    def read_now(self, max_bytes=None):
        """Deliver what the socket has received by now, at most `max_bytes`.

        What arrives meanwhile is left: a peer that sends faster than its data is handled would be read without end.
        """
        remaining, failures = self.unread_bytes, 0
        if max_bytes is not None:
            remaining = min(remaining, max_bytes)
        while remaining > 0 and self.open and self.reading and failures < MAX_CONSECUTIVE_FAILURES:
            try:
                data = self.sock.recv(min(remaining, READ_SIZE))
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    return  # it was reset, which the loop will report
                failures += 1
                continue
            if not data:
                return
            remaining, failures = remaining - len(data), 0
            self._deliver(data)

    @property
    def unread_bytes(self):
        """Number of bytes that the socket holds unread."""
        try:
            return struct.unpack("i", fcntl.ioctl(self.sock, termios.FIONREAD, b"\0\0\0\0"))[0]
        except OSError:  # not known; a socket that was closed has nothing to read
            return READ_SIZE

    def write(self, data):
        """Send bytes, buffered; ignored once the stream is closing."""
        if not self.open or self.closing:
            return
        self.write_buffer.append(bytes(data))
        self.unsent_bytes += len(data)
        if self.unsent_bytes > self.max_unsent:
            self.abort("does not read")
        elif not self.flush_scheduled:
            # All that is written during one turn is sent with one system call.
            self.flush_scheduled = True
            self.loop.soon(self._scheduled_flush)

    def _scheduled_flush(self):
        self.flush_scheduled = False
        if self.open:
            self._flush()

    def _flush(self):
        while self.write_buffer:
            data = self.write_buffer[0] if len(self.write_buffer) == 1 else b"".join(self.write_buffer)
            try:
                sent = self.sock.send(data)
            except (BlockingIOError, InterruptedError):
                self.write_buffer = [data]
                break
            except OSError as error:
                if error.errno in SHORTAGE:
                    self.write_buffer = [data]
                    break
                self._write_failed(error_name(error.errno))
                return
            self.unsent_bytes -= sent
            self.bytes_out += sent
            self.write_buffer = [data[sent:]] if sent < len(data) else []
        if self.closing and not self.write_buffer:
            self._all_sent()
        else:
            self._update_events()

    def _all_sent(self):
        """All that was written before the close has been sent."""
        if not self.lingering:
            self._finish("closed here")
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer is gone already
            self._finish("closed here")
            return
        self._update_events()

    def linger_and_close(self, us):
        """Send what was written, then discard what arrives until the peer closes, for `us` microseconds at most.

        Closing at once while the peer still sends would reset the connection, and the peer might miss the answer.
        """
        if not self.open or self.closing:
            return
        self.on_data, self.closing, self.lingering = None, True, True
        self.loop.after(us, lambda: self._finish("closed here"))
        self.resume()
        if not self.write_buffer:
            self._all_sent()

    def close(self):
        """Close once the write buffer has been sent."""
        if self.open and not self.closing:
            self.closing = True
            if not self.write_buffer:
                self._finish("closed here")

    def flush_and_close(self, max_bytes=None):
        """Deliver what has arrived by now, at most `max_bytes`, send the answers to it, and close at once."""
        self.read_now(max_bytes)
        self.close()
        failures = 0
        while self.open and failures < MAX_CONSECUTIVE_FAILURES:  # a transient failure must not lose an answer
            unsent_before = self.unsent_bytes
            self._flush()
            failures = 0 if self.unsent_bytes < unsent_before else failures + 1
        self._finish("closed here")

    def abort(self, reason="aborted"):
        """Close at once with a reset; the write buffer is dropped."""
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
        if self.events:
            self.loop.selector.unregister(self.sock)
            self.events = 0
        self.sock.close()
        self.write_buffer, self.unsent_bytes = [], 0
        # The callbacks refer to what was read from this stream; kept, they would hold its memory until a collection.
        on_closed, self.on_data, self.on_closed = self.on_closed, None, None
        if on_closed is not None:
            self.loop.soon(lambda: on_closed(reason))

    def pause(self):
        """Stop reading, so that the peer is slowed down."""
        self.reading = False
        self._update_events()

    def resume(self):
        """Go on reading."""
        self.reading = True
        self._update_events()


class Dial:
    """A connection that is being established; `on_done(stream, reason)` is called once, unless it is cancelled.

    The stream is None if the attempt failed; `timeout_us` bounds it.
    """

    def __init__(self, loop, address, timeout_us, on_done):
        self.loop, self.address, self.on_done = loop, address, on_done
        self.timer, self.sock = None, None
        try:
            self.sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            code = self.sock.connect_ex(address)
        except OSError as error:  # for example, no file descriptor is left
            code = error.errno
        if code not in (0, errno.EINPROGRESS, errno.EINTR):  # after EINTR the attempt goes on by itself
            self._close()
            loop.counts[f"dial failed: {error_name(code)}"] += 1
            loop.soon(lambda: self._complete(None, error_name(code)))
            return
        self.timer = loop.after(timeout_us, self._timed_out)
        loop.selector.register(self.sock, selectors.EVENT_WRITE, self._ready)

    def _ready(self, mask):
        if self.sock is None:  # cancelled by an earlier callback of this turn
            return
        error_code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            self._close()
            self._complete(None, error_name(error_code))
            return
        self.timer.cancel()
        self.loop.selector.unregister(self.sock)
        sock, self.sock = self.sock, None
        self._complete(SocketStream(self.loop, sock, self.address), "")

    def _timed_out(self):
        self._close()
        self._complete(None, "timed out")

    def _complete(self, stream, reason):
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
        """Give up the attempt and close its socket at once; `on_done` is not called."""
        self.on_done = None
        self._close()


class Listener:
    """A listening socket; `address` holds the actual port, and `on_stream(stream)` gets each connection."""

    def __init__(self, loop, sock, on_stream):
        self.loop, self.sock, self.on_stream = loop, sock, on_stream
        self.address = sock.getsockname()[:2]
        self.paused, self.retry_us = False, ACCEPT_RETRY_US
        loop.selector.register(sock, selectors.EVENT_READ, self._ready)

    def _ready(self, mask):
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.sock.fileno() < 0:
                return
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.loop.counts[f"accept failed: {error_name(error.errno)}"] += 1
                if error.errno in SHORTAGE:
                    self._pause()
                    return
                continue  # that peer is gone again; the next may wait behind it
            self.retry_us = ACCEPT_RETRY_US
            sock.setblocking(False)
            self.on_stream(SocketStream(self.loop, sock, peer[:2]))

    def accept_all(self):
        """Accept the connections that wait by now, at most a backlog of them: their peers consider them established."""
        for _ in range(BACKLOG // MAX_ACCEPTS_PER_TURN):
            self._ready(selectors.EVENT_READ)

    def _pause(self):
        """Stop accepting for a while, as descriptors or memory are short.

        Retrying at once would starve everything else, and a long pause would make peers wait. So the first retry
        comes soon, and the pause doubles up to MAX_ACCEPT_RETRY_US.
        """
        if self.paused:  # accept_all was called during the pause
            return
        self.paused = True
        self.loop.selector.unregister(self.sock)
        self.loop.after(self.retry_us, self._resume)
        self.retry_us = min(MAX_ACCEPT_RETRY_US, self.retry_us * 2)

    def _resume(self):
        self.paused = False
        if self.sock.fileno() >= 0:
            self.loop.selector.register(self.sock, selectors.EVENT_READ, self._ready)

    def close(self):
        """Stop listening; may be called again."""
        if self.sock.fileno() >= 0:
            try:
                self.loop.selector.unregister(self.sock)
            except KeyError:
                pass
            self.sock.close()
