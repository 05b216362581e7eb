"""Limits the rate at which proxies read tables from the manager. No I/O; the clock is an argument.

The full tables for a joining proxy do not pass through the paced channel. Without a limit of their own, a whole fleet
that joins at once would block the manager for as long as a hundred large answers take.
"""


class ReadBudget:
    """A token bucket that counts lines, filled at `lines_per_s` up to the lines of `burst_s` seconds."""

    def __init__(self, lines_per_s, burst_s=1.0):
        self.refill_per_s, self.max_lines = lines_per_s, lines_per_s * burst_s
        self.available_lines, self.updated_us, self.admitted, self.put_off = self.max_lines, None, 0, 0

    def admit(self, now, lines):
        """Whether an answer of this many lines may be sent at `now` (microseconds); if so, it is charged."""
        if self.updated_us is not None:
            self.available_lines = min(
                self.max_lines, self.available_lines + (now - self.updated_us) * self.refill_per_s / 1_000_000
            )
        self.updated_us = now
        # An answer larger than the bucket is admitted when the bucket is full and leaves a debt: it must pass at some
        # time.
        if self.available_lines >= min(lines, self.max_lines):
            self.available_lines -= lines
            self.admitted += 1
            return True
        self.put_off += 1
        return False

    def wait_us(self, lines):
        """Microseconds until an answer of this many lines would be admitted, if no other came before it."""
        return round(max(0.0, min(lines, self.max_lines) - self.available_lines) / self.refill_per_s * 1_000_000)
