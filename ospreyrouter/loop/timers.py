"""A heap of timers. Call `at(when_us, callback)`; `due(now)` runs what has come due, in order of time and call."""

import heapq
from itertools import count


class Timer:
    """One callback that is still to run; `cancel()` drops it and what it holds."""

    __slots__ = ("when", "callback")

    def __init__(self, when, callback):
        self.when, self.callback = when, callback

    def cancel(self):
        self.callback = None


class TimerHeap:
    """Timers by due time; those due at the same moment run in the order they were set."""

    def __init__(self):
        self.heap, self.turns, self.dead = [], count(), 0

    def at(self, when_us, callback):
        timer = Timer(when_us, callback)
        heapq.heappush(self.heap, (when_us, next(self.turns), timer))
        if len(self.heap) > 1000 and len(self.heap) % 500 == 0:
            self._sweep()
        return timer

    def _sweep(self):
        # Time-outs are nearly always cancelled: without this the heap would hold every one until its time.
        self.heap = [row for row in self.heap if row[2].callback is not None]
        heapq.heapify(self.heap)

    def next_at(self):
        """When the next live timer is due, or None."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def due(self, now, most=10_000):
        """Run what is due at `now`, at most `most` callbacks; returns how many ran."""
        ran = 0
        while ran < most and self.heap and self.heap[0][0] <= now:
            timer = heapq.heappop(self.heap)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
                ran += 1
        return ran
