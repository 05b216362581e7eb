"""Counts by key over the last seconds: rings of fixed buckets. No I/O.

rates = Rates(span_us, buckets); rates.add(now, key, count); rates.total(now, key); rates.per_s(now, key)
"""

BUCKETS = 16


class Rates:
    """What is added now was counted over a while before: a rate is over whole spans, and at first over what there
    is.
    """

    def __init__(self, span_us, buckets=BUCKETS):
        self.step, self.buckets, self.rows, self.since = max(1, span_us // buckets), buckets, {}, None

    def add(self, now, key, count):
        self.since = now if self.since is None else self.since
        number = now // self.step
        ring = self.rows.setdefault(key, [[-1, 0.0] for _ in range(self.buckets)])
        row = ring[number % self.buckets]
        if row[0] != number:
            row[:] = [number, 0.0]
        row[1] += count

    def forget(self, *keys):
        for key in keys:
            self.rows.pop(key, None)

    def total(self, now, key):
        first = now // self.step - self.buckets + 1
        return sum(row[1] for row in self.rows.get(key, ()) if row[0] >= first)

    def per_s(self, now, key):
        since = self.since if self.since is not None else now
        return self.total(now, key) / min(self.buckets * self.step, max(4 * self.step, now - since)) * 1e6
