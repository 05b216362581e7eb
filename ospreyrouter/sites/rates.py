"""Counts by key over the last seconds: rings of fixed buckets, as `evidence` has them. No I/O.

    rates = Rates(span_us); rates.add(now, key, count); rates.per_s(now, key)
"""

BUCKETS = 16


class Rates:
    """What is added now was counted over a while before: a rate is over whole spans, and at first over what there is."""

    def __init__(self, span_us):
        self.step, self.rows, self.since = max(1, span_us // BUCKETS), {}, None

    def add(self, now, key, count):
        self.since = now if self.since is None else self.since
        number = now // self.step
        ring = self.rows.setdefault(key, [[-1, 0.0] for _ in range(BUCKETS)])
        row = ring[number % BUCKETS]
        if row[0] != number:
            row[:] = [number, 0.0]
        row[1] += count

    def forget(self, *keys):
        for key in keys:
            self.rows.pop(key, None)

    def per_s(self, now, key):
        first = now // self.step - BUCKETS + 1
        count = sum(row[1] for row in self.rows.get(key, ()) if row[0] >= first)
        since = self.since if self.since is not None else now
        return count / min(BUCKETS * self.step, max(4 * self.step, now - since)) * 1e6
