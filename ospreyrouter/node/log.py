"""The program's log: JSON lines on standard error, few of them, which never block the program.

A line that the pipe cannot take at once is dropped and counted.
"""

import os
import select
import time

import orjson

MAX_LINE = 4000  # bytes; a pipe that is ready for writing takes this many without blocking


class Log:
    """Call it with an event name and fields to write a line; `dropped` counts the lines that were dropped."""

    def __init__(self, descriptor=2, name=""):
        self.descriptor, self.name, self.dropped, self.started_s = descriptor, name, 0, time.monotonic()
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def __call__(self, event, **fields):
        # The wall clock may be stepped between two lines, so the time since the start gives their order.
        up_ms = round((time.monotonic() - self.started_s) * 1000)
        record = {"time": round(time.time(), 3), "up_ms": up_ms, "name": self.name, "event": event, **fields}
        if self.dropped:
            record["lines_dropped"] = self.dropped
        data = orjson.dumps(record, default=str)[:MAX_LINE] + b"\n"
        try:
            ready = self.poll.poll(0)
            if ready and ready[0][1] & select.POLLOUT and not ready[0][1] & (select.POLLERR | select.POLLHUP):
                os.write(self.descriptor, data)
                return
        except OSError:
            pass
        self.dropped += 1
