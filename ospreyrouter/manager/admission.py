"""How many proxies may read the store at a time. Decisions only; the clock is an argument.

Whole tables for a joining proxy do not pass through the paced channel; without a bound of their own, a fleet that
joins at once would hold the manager up for as long as a hundred large answers take.
"""


class ReadBudget:
    """A bucket of lines: `admit(now, lines)` says whether an answer of so many lines may go out now."""

    def __init__(self, lines_per_s, burst_s=1.0):
        self.rate, self.most = lines_per_s, lines_per_s * burst_s
        self.left, self.at, self.admitted, self.put_off = self.most, None, 0, 0

    def admit(self, now, lines):
        if self.at is not None:
            self.left = min(self.most, self.left + (now - self.at) * self.rate / 1_000_000)
        self.at = now
        # An answer larger than the bucket passes when it is full, and is paid off after: it must pass some time.
        if self.left >= min(lines, self.most):
            self.left -= lines
            self.admitted += 1
            return True
        self.put_off += 1
        return False

    def wait_us(self, lines):
        """After what time an answer of so many lines would be admitted, if nobody else came."""
        return round(max(0.0, min(lines, self.most) - self.left) / self.rate * 1_000_000)
