"""Sums over time in a fixed number of buckets. No I/O; the clock is an argument, in whole microseconds."""


class Ring:
    """Sums in fixed buckets of time, used again in a ring."""

    def __init__(self, span_us, count, width):
        self.span, self.width, self.at = span_us, width, 0
        self.rows = [[0.0] * width for _ in range(count)]

    def turn(self, now):
        """Bring the ring to `now`; buckets that were skipped are empty."""
        at = now // self.span
        for step in range(max(self.at + 1, at - len(self.rows) + 1), at + 1):
            self.rows[step % len(self.rows)] = [0.0] * self.width
        self.at = max(self.at, at)

    def add(self, now, span, *values):
        """Add what was counted over the last `span` (0: just now): a sum that waited its turn is no burst."""
        self.turn(now)
        span = max(1, span)
        for back in range(len(self.rows)):
            low = (self.at - back) * self.span
            part = (min(now, low + self.span) - max(now - span, low)) / span
            if part > 0:
                row = self.row(back)
                row[:] = [old + value * part for old, value in zip(row, values)]

    def row(self, back):
        return self.rows[(self.at - back) % len(self.rows)]
