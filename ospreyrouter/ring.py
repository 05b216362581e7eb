"""Sums over recent time in a fixed number of buckets. No I/O; the clock is an argument, in whole microseconds."""


class BucketRing:
    """Sums in consecutive buckets of time, kept in a ring that overwrites the oldest bucket."""

    def __init__(self, span_us, count, width):
        """`span_us`: length of a bucket; `count`: number of buckets; `width`: number of sums in each."""
        self.bucket_us, self.width, self.current = span_us, width, 0
        self.buckets = [[0.0] * width for _ in range(count)]

    def advance(self, now):
        """Bring the ring to `now`; buckets that were skipped are empty."""
        current = now // self.bucket_us
        for number in range(max(self.current + 1, current - len(self.buckets) + 1), current + 1):
            self.buckets[number % len(self.buckets)] = [0.0] * self.width
        self.current = max(self.current, current)

    def add(self, now, span_us, *values):
        """Add values that were counted over the last `span_us` (0: just now), spread evenly over that time.

        A count that was reported late does not look like a burst that way.
        """
        self.advance(now)
        span_us = max(1, span_us)
        for age in range(len(self.buckets)):
            start = (self.current - age) * self.bucket_us
            part = (min(now, start + self.bucket_us) - max(now - span_us, start)) / span_us
            if part > 0:
                bucket = self.bucket(age)
                bucket[:] = [total + value * part for total, value in zip(bucket, values)]

    def bucket(self, age):
        """The sums of a bucket; age 0 is the current one."""
        return self.buckets[(self.current - age) % len(self.buckets)]
