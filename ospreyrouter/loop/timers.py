"""A heap of timers: `at(when_us, callback)` adds one, `run_due(now)` runs those that are due.

Times are microseconds on the clock of the caller.
"""

import heapq
from itertools import count


class Timer:
    """A callback that is still to run; `callback` is None once it has run or was cancelled."""

    __slots__ = ("when_us", "callback")

    def __init__(self, when_us, callback):
        self.when_us, self.callback = when_us, callback

    def cancel(self):
        """Drop the callback, and with it the objects that it refers to."""
        self.callback = None


class TimerHeap:
    """Timers by due time; those that are due at the same time run in the order in which they were added."""

    def __init__(self):
        self.heap, self.sequence, self.dead = [], count(), 0

    def at(self, when_us, callback):
        """Run `callback()` at `when_us`; returns the Timer."""
        timer = Timer(when_us, callback)
        heapq.heappush(self.heap, (when_us, next(self.sequence), timer))
        if len(self.heap) > 1000 and len(self.heap) % 500 == 0:
            self._drop_cancelled()
        return timer

    def _drop_cancelled(self):
        # Nearly all timeouts are cancelled. Without this the heap would keep every one of them until it is due.
        self.heap = [entry for entry in self.heap if entry[2].callback is not None]
        heapq.heapify(self.heap)

    def next_at(self):
        """When the next timer that was not cancelled is due, or None."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def run_due(self, now, max_callbacks=10_000):
        """Run the callbacks that are due at `now`, at most `max_callbacks`; returns how many ran."""
        run_count = 0
        while run_count < max_callbacks and self.heap and self.heap[0][0] <= now:
            timer = heapq.heappop(self.heap)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
                run_count += 1
        return run_count
