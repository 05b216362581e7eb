"""Decides how the intake reduces its load when reports arrive faster than they can be processed. No I/O.

    pressure = Pressure(interval_us)
    changed = pressure.update(now, delay_us, busy_share, memory_share)
    pressure.step, pressure.sample, pressure.interval_us
    pressure.offenders(bytes_by_sender)

`delay_us` is the median wait over senders, `busy_share` the share of time that the intake uses, `memory_share` the
share of the memory for waiting bodies that is used.

Each step is taken only when the one before has had time to help: details of reports are dropped; reports are sampled,
and those that are kept get a higher weight; senders are asked to report less often; the senders that send most are
disconnected. Steps are taken back one at a time after a calm time, which becomes longer if the last step back did not
last.
"""

from enum import IntEnum

BEHIND_DELAY_US = 1_000_000  # median wait above which the intake is behind
CALM_DELAY_US = 250_000  # median wait below which it is calm
MAX_BUSY_SHARE, CALM_BUSY_SHARE = 0.8, 0.4  # of the time
MAX_MEMORY_SHARE = 0.7  # of the memory for waiting bodies
MIN_STEP_US = 2_000_000  # time between two steps up
MIN_CALM_US = 4_000_000  # calm time before a step down; doubled after a step down that did not last
MAX_CALM_US = 64_000_000
MIN_SAMPLE = 1 / 16
MAX_INTERVAL_FACTOR = 16  # longest report interval, as a multiple of the usual one
OFFENDER_FACTOR = 8.0  # a sender that sends more than this multiple of the mean bytes is an offender


class Step(IntEnum):
    """Steps of load reduction; each one includes the steps before it."""

    NONE = 0
    MERGE = 1
    SAMPLE = 2
    SLOW = 3
    CLOSE = 4


class Pressure:
    """Present step of load reduction; see the module docstring.

    `sample` is the share of reports that is kept, each with weight 1/sample. `interval_us` is the interval at which
    senders are asked to report.
    """

    def __init__(self, interval_us):
        self.usual_us, self.interval_us = interval_us, interval_us
        self.step, self.sample, self.step_since, self.calm_since = Step.NONE, 1.0, None, None
        self.required_calm_us, self.stepped_down_us, self.change_count = MIN_CALM_US, None, 0

    def update(self, now, delay_us, busy_share, memory_share):
        """Take a step up or down if it is due. Returns whether the step, the sample or the interval changed."""
        if self.step_since is None:
            self.step_since = now
        behind = (
            delay_us > BEHIND_DELAY_US
            or busy_share > MAX_BUSY_SHARE
            and delay_us > CALM_DELAY_US
            or memory_share > MAX_MEMORY_SHARE
        )
        calm = delay_us < CALM_DELAY_US and busy_share < CALM_BUSY_SHARE and memory_share < MAX_MEMORY_SHARE / 2
        before = (self.step, self.sample, self.interval_us)
        if not calm:
            self.calm_since = None
        if behind and now - self.step_since >= MIN_STEP_US:
            self._step_up(now)
        elif calm:
            self.calm_since = now if self.calm_since is None else self.calm_since
            if now - self.calm_since >= self.required_calm_us and self.step > Step.NONE:
                self._step_down(now)
        changed = before != (self.step, self.sample, self.interval_us)
        self.change_count += changed
        return changed

    def _step_up(self, now):
        """Reduce the load by one step."""
        self.step_since, self.calm_since = now, None
        if self.stepped_down_us is not None and now - self.stepped_down_us < 4 * self.required_calm_us:
            # The last step down did not last. Waiting longer for the next one prevents endless oscillation.
            self.required_calm_us = min(MAX_CALM_US, 2 * self.required_calm_us)
        self.stepped_down_us = None
        if self.step < Step.SAMPLE:
            self.step = Step(self.step + 1)
            self.sample = 0.5 if self.step is Step.SAMPLE else 1.0
        elif self.step is Step.SAMPLE and self.sample > 0.25:
            self.sample /= 2
        elif self.step < Step.SLOW:
            self.step, self.interval_us = Step.SLOW, 2 * self.usual_us
        elif self.interval_us < MAX_INTERVAL_FACTOR * self.usual_us or self.sample > MIN_SAMPLE:
            self.interval_us = min(MAX_INTERVAL_FACTOR * self.usual_us, 2 * self.interval_us)
            self.sample = max(MIN_SAMPLE, self.sample / 2)
        else:
            self.step = Step.CLOSE

    def _step_down(self, now):
        """Take one step back."""
        self.step_since = self.calm_since = self.stepped_down_us = now
        if self.step is Step.CLOSE:
            self.step = Step.SLOW
        elif self.step is Step.SLOW:
            # Sampling is taken back first: it costs accuracy, whereas a longer interval only costs freshness.
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
            self.required_calm_us = max(MIN_CALM_US, self.required_calm_us // 2)

    def offenders(self, bytes_by_sender):
        """Return the senders to be disconnected: at the last step, those far above the mean."""
        if self.step is not Step.CLOSE or not bytes_by_sender:
            return []
        mean = sum(bytes_by_sender.values()) / len(bytes_by_sender)
        return sorted(name for name, size in bytes_by_sender.items() if size > OFFENDER_FACTOR * mean)
