"""The program's log: JSON lines on standard error, few and never in the way.

A line is written only when the pipe takes it at once; what it does not take is dropped and counted.
"""

import os
import select
import time

import orjson

LINE_MOST = 4000  # bytes; a pipe that is ready takes as many without waiting


class Log:
    def __init__(self, descriptor=2, name=""):
        self.descriptor, self.name, self.dropped, self.started_at = descriptor, name, 0, time.monotonic()
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def __call__(self, event, **fields):
        # The time of day may be stepped between two lines; the time since the start orders them.
        up_ms = round((time.monotonic() - self.started_at) * 1000)
        row = {"time": round(time.time(), 3), "up_ms": up_ms, "name": self.name, "event": event, **fields}
        if self.dropped:
            row["lines_dropped"] = self.dropped
        data = orjson.dumps(row, default=str)[:LINE_MOST] + b"\n"
        try:
            ready = self.poll.poll(0)
            if ready and ready[0][1] & select.POLLOUT and not ready[0][1] & (select.POLLERR | select.POLLHUP):
                os.write(self.descriptor, data)
                return
        except OSError:
            pass
        self.dropped += 1
