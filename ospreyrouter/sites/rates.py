"""Counts by key over the last seconds, in rings of fixed buckets. No I/O.

rates = Rates(span_us, buckets); rates.add(now, key, count); rates.total(now, key); rates.per_s(now, key)
"""

BUCKETS = 16


class Rates:
    """Counts over a span of microseconds.

    A count that is added was collected over some time before, so a rate is computed over whole spans, and at first over
    the time since the first count.
    """

    def __init__(self, span_us, buckets=BUCKETS):
        self.bucket_us, self.buckets, self.rings, self.first_added_at = max(1, span_us // buckets), buckets, {}, None

    def add(self, now, key, count):
        """Adds a count to the bucket of `now`."""
        self.first_added_at = now if self.first_added_at is None else self.first_added_at
        number = now // self.bucket_us
        ring = self.rings.setdefault(key, [[-1, 0.0] for _ in range(self.buckets)])
        bucket = ring[number % self.buckets]
        if bucket[0] != number:
            bucket[:] = [number, 0.0]
        bucket[1] += count

    def forget(self, *keys):
        """Drops the counts of the keys."""
        for key in keys:
            self.rings.pop(key, None)

    def total(self, now, key):
        """Returns the sum of the counts of a key within the span."""
        oldest = now // self.bucket_us - self.buckets + 1
        return sum(bucket[1] for bucket in self.rings.get(key, ()) if bucket[0] >= oldest)

    def per_s(self, now, key):
        """Returns the rate of a key a second."""
        first_added_at = self.first_added_at if self.first_added_at is not None else now
        return (
            self.total(now, key)
            / min(self.buckets * self.bucket_us, max(4 * self.bucket_us, now - first_added_at))
            * 1e6
        )
