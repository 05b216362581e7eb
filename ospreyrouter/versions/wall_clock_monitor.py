"""Decides whether the time of day is reliable enough for actions that cannot be undone.

    monitor = WallClockMonitor()
    monitor.is_trusted(monotonic_us, wall_clock_us)     # both clocks are arguments; no I/O

Versions carry the time of day for people. Only retention by age deletes anything based on it: a clock that was set
ahead by a year would make a whole history old at once.
"""

STEP_US = 2_000_000  # more than slewing adds up to between two checks
TRUST_AFTER_US = 3_600_000_000


class WallClockMonitor:
    """Trusts the wall clock once it has kept pace with the monotonic clock for TRUST_AFTER_US; each step of the wall
    clock restarts that period.
    """

    def __init__(self):
        self.offset_us, self.steady_since_us, self.step_count = None, 0, 0

    def is_trusted(self, monotonic_us, wall_clock_us):
        """Records a reading of both clocks, in microseconds, and returns whether the wall clock can be trusted."""
        offset_us = wall_clock_us - monotonic_us
        if self.offset_us is None or abs(offset_us - self.offset_us) > STEP_US:
            self.step_count += self.offset_us is not None
            self.steady_since_us = monotonic_us
        self.offset_us = offset_us  # updated at each check, so that slewing does not count as a step
        return monotonic_us - self.steady_since_us >= TRUST_AFTER_US
