"""What gives way when reports outrun the manager. Decisions only.

    pressure = Pressure(interval_us) pressure.weigh(now, delay_us, busy, fill)      # once in a while: what half of the
    senders wait, part of time, of memory pressure.step, pressure.sample, pressure.interval_us,
    pressure.offenders(counts)

Steps, each taken only when the one before has had time to help: details are merged; reports are sampled, each kept
one weighing more; senders are asked to report less often; the worst offenders are closed. The way back is one step at
a time, after a calm that lengthens when the last return did not hold.
"""

from enum import IntEnum

BEHIND_US = 1_000_000  # half of the senders wait so long: the intake is behind
AHEAD_US = 250_000  # and it is ahead again below that
BUSY, EASY = 0.8, 0.4  # part of time that the intake takes
FULL = 0.7  # of the memory for waiting bodies
HOLD_US = 2_000_000  # a step stays so long before another is taken
CALM_US = 4_000_000  # calm before a step back; doubled after a return that did not hold
CALM_MOST_US = 64_000_000
SAMPLE_LEAST = 1 / 16
LONGEST = 16  # times the usual interval that senders are asked for at most
OFFENCE = 8.0  # times the mean of all senders' bytes that makes one an offender


class Step(IntEnum):
    NONE = 0
    MERGE = 1
    SAMPLE = 2
    SLOW = 3
    CLOSE = 4


class Pressure:
    """See the top of this module. `sample` is the part of reports that is kept, each weighing 1/sample."""

    def __init__(self, interval_us):
        self.usual_us, self.interval_us = interval_us, interval_us
        self.step, self.sample, self.since, self.calm_since = Step.NONE, 1.0, None, None
        self.calm_us, self.returned_at, self.changes = CALM_US, None, 0

    def weigh(self, now, delay_us, busy, fill):
        """Whether the step, sample or interval is another now."""
        if self.since is None:
            self.since = now
        behind = delay_us > BEHIND_US or busy > BUSY and delay_us > AHEAD_US or fill > FULL
        easy = delay_us < AHEAD_US and busy < EASY and fill < FULL / 2
        before = (self.step, self.sample, self.interval_us)
        if not easy:
            self.calm_since = None
        if behind and now - self.since >= HOLD_US:
            self._harder(now)
        elif easy:
            self.calm_since = now if self.calm_since is None else self.calm_since
            if now - self.calm_since >= self.calm_us and self.step > Step.NONE:
                self._easier(now)
        changed = before != (self.step, self.sample, self.interval_us)
        self.changes += changed
        return changed

    def _harder(self, now):
        self.since, self.calm_since = now, None
        if self.returned_at is not None and now - self.returned_at < 4 * self.calm_us:
            # The last return did not hold: the next waits longer, or it would swing for good.
            self.calm_us = min(CALM_MOST_US, 2 * self.calm_us)
        self.returned_at = None
        if self.step < Step.SAMPLE:
            self.step = Step(self.step + 1)
            self.sample = 0.5 if self.step is Step.SAMPLE else 1.0
        elif self.step is Step.SAMPLE and self.sample > 0.25:
            self.sample /= 2
        elif self.step < Step.SLOW:
            self.step, self.interval_us = Step.SLOW, 2 * self.usual_us
        elif self.interval_us < LONGEST * self.usual_us or self.sample > SAMPLE_LEAST:
            self.interval_us = min(LONGEST * self.usual_us, 2 * self.interval_us)
            self.sample = max(SAMPLE_LEAST, self.sample / 2)
        else:
            self.step = Step.CLOSE

    def _easier(self, now):
        self.since = self.calm_since = self.returned_at = now
        if self.step is Step.CLOSE:
            self.step = Step.SLOW
        elif self.step is Step.SLOW:
            # Samples first: they cost sight; a longer interval only costs age.
            if self.sample < 1.0:
                self.sample = min(1.0, 2 * self.sample)
            else:
                self.interval_us = max(self.usual_us, self.interval_us // 2)
                if self.interval_us == self.usual_us:
                    self.step = Step.SAMPLE
        elif self.step is Step.SAMPLE:
            self.sample = min(1.0, 2 * self.sample)
            if self.sample == 1.0:
                self.step = Step.MERGE
        else:
            self.step = Step.NONE
            self.calm_us = max(CALM_US, self.calm_us // 2)

    def offenders(self, bytes_by_sender):
        """Senders to be closed: at the last step, those far above the mean of all."""
        if self.step is not Step.CLOSE or not bytes_by_sender:
            return []
        mean = sum(bytes_by_sender.values()) / len(bytes_by_sender)
        return sorted(name for name, size in bytes_by_sender.items() if size > OFFENCE * mean)
