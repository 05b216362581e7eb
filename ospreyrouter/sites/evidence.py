"""Recent outcomes at a site, by kind. No I/O.

evidence = Evidence(window_us)
evidence.record(now, kind, good, bad)
evidence.answered_fraction(now, kind, min_count)     # good / all within the window, or None below `min_count`
"""

from .rates import Rates

BUCKETS = 8


class Evidence:
    """Counts of answered (good) and lost (bad) attempts within a window, by kind of attempt."""

    def __init__(self, window_us):
        self.rates = Rates(window_us, BUCKETS)

    def record(self, now, kind, good, bad):
        """Adds counts of answered and lost attempts of a kind."""
        self.rates.add(now, (kind, "good"), good)
        self.rates.add(now, (kind, "bad"), bad)

    def counts(self, now, kind):
        """Returns (good, bad) of a kind within the window."""
        return self.rates.total(now, (kind, "good")), self.rates.total(now, (kind, "bad"))

    def answered_fraction(self, now, kind, min_count):
        """Returns the answered fraction of a kind, or None if fewer than `min_count` attempts are in the window."""
        good, bad = self.counts(now, kind)
        return good / (good + bad) if good + bad >= min_count else None
