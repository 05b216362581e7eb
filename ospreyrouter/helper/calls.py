"""Two executors of disk operations with the same interface; see the package docstring."""

import errno
import pickle
import socket
import struct
import subprocess
import sys

from ..loop.sockets import SocketStream
from .work import Work


class InlineCalls:
    """Runs each operation at once in this process and delivers its result after `delay_us`, like a slow disk.

    For tests: while `ignore_calls` is set operations are dropped and never end; while `hold_calls` is set they wait for
    `release`, as on a disk that hangs for a while; while `lose_results` is set they run, but report a failure.
    """

    def __init__(self, loop, disk, delay_us=0):
        self.loop, self.work, self.delay_us, self.ignore_calls = loop, Work(disk, lock=False), delay_us, False
        self.idle_at_us, self.hold_calls, self.lose_results, self.held_calls = 0, False, False, []

    def release(self):
        """Clear `hold_calls` and run the operations that were held."""
        self.hold_calls = False
        held_calls, self.held_calls = self.held_calls, []
        for call in held_calls:
            self.submit(*call)

    def submit(self, operation, arguments, on_done):
        """Run an operation, a method of `work.Work`; see the package docstring. Only OSError is passed to `on_done`."""
        if self.ignore_calls:
            return
        if self.hold_calls:
            self.held_calls.append((operation, arguments, on_done))
            return
        try:
            result, error = getattr(self.work, operation)(*arguments), None
        except OSError as caught:
            result, error = None, caught
        if self.lose_results:
            result, error = None, OSError(errno.EIO, "the result was lost")
        if self.delay_us:
            self.idle_at_us = max(self.idle_at_us, self.loop.now()) + self.delay_us
            self.loop.at(self.idle_at_us, lambda: on_done(result, error))
        else:
            self.loop.soon(lambda: on_done(result, error))

    def close(self):
        pass  # nothing to release: operations run at once in this process


class ProcessCalls:
    """Runs operations in a child process. If that ends, all pending and later operations fail with EIO.

    `flush`: whether written files are flushed to the disk.
    """

    def __init__(self, loop, flush=True):
        self.loop, self.pending, self.call_number, self.buffer, self.closing = loop, {}, 0, b"", False
        parent_socket, child_socket = socket.socketpair()
        parent_socket.setblocking(False)
        command = [sys.executable, "-m", "ospreyrouter.helper.child", str(child_socket.fileno())]
        self.process = subprocess.Popen(
            command, pass_fds=[child_socket.fileno()], stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL
        )
        child_socket.close()
        self.stream = SocketStream(loop, parent_socket, "helper")
        self.stream.max_unsent = 1 << 30  # 1 GiB: a slow disk must not lose calls to our own child
        self.stream.start(self._received, self._closed)
        if not flush:
            self.submit("set_flush", (False,), lambda result, error: None)

    @property
    def outstanding(self):
        """Number of operations without a result."""
        return len(self.pending)

    def submit(self, operation, arguments, on_done):
        """Run an operation, a method of `work.Work`, in the child; see the package docstring."""
        if not self.stream.open:
            self.loop.soon(lambda: on_done(None, OSError(errno.EIO, "the disk helper ended")))
            return
        self.call_number += 1
        self.pending[self.call_number] = on_done
        body = pickle.dumps((self.call_number, operation, arguments))
        self.stream.write(struct.pack("!I", len(body)) + body)

    def _received(self, data):
        self.buffer += data
        while len(self.buffer) >= 4:
            size = struct.unpack("!I", self.buffer[:4])[0]
            if len(self.buffer) < 4 + size:
                return
            body, self.buffer = self.buffer[4 : 4 + size], self.buffer[4 + size :]
            number, result, error = pickle.loads(body)
            on_done = self.pending.pop(number, None)
            if on_done is not None:
                on_done(result, OSError(*error) if error else None)
        if self.closing and not self.pending:
            self.stream.close()

    def _closed(self, reason):
        pending, self.pending = self.pending, {}
        for on_done in pending.values():
            on_done(None, OSError(errno.EIO, "the disk helper ended"))

    def close(self):
        """Let the child finish the pending operations, deliver their results, and end."""
        self.closing = True
        if not self.pending:
            self.stream.close()

    def join(self, timeout_s=5):
        """Wait for the child to end, once the loop has stopped; kill it after `timeout_s`, as it may hang on a disk.

        Operations that were not sent to the child by then are not run.
        """
        self.stream.abort("ended")
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
