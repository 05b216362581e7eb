"""Selects which sums of load reports are passed to the policy, whose input is limited to a number of lines per second.

    handover = Handover(lines_per_s)
    handover.add_tries(now, zone, worker, ...); handover.add_demand(now, slice, class, ...)
    for line in handover.take(now): ...        # events of the policy, as tuples

Sums that are not selected keep accumulating, so totals are right however late they are passed on, and each line states
the span that it covers. Lines are given to the sums with the highest priority: the change of the rate since it was last
passed on, how bad the news is, and the time for which it has waited. A share of each budget goes to the sums that have
waited longest, so none waits forever.
"""

OLDEST_SHARE = 0.25  # share of the lines that is given by age alone
MAX_WAIT_US = 4_000_000  # sums that have waited longer precede all others
SELECTION_INTERVAL_US = 50_000  # selecting examines all waiting sums, so it is not done in each round
MAX_CREDIT_S = 1.0  # unused lines are carried over for at most this time


class PendingSums:
    """Sums of one worker, or of one slice and class, since they were last passed on; and the rates passed on then."""

    __slots__ = (
        "count",
        "lost",
        "delay_sum_us",
        "waiting_since",
        "load_report",
        "reported_rate",
        "reported_lost_share",
        "zone",
        "begin_us",
    )

    def __init__(self):
        self.count = self.lost = self.delay_sum_us = 0.0
        self.waiting_since, self.load_report, self.reported_rate, self.reported_lost_share, self.zone, self.begin_us = (
            None,
            {},
            None,
            0.0,
            0,
            0,
        )


class Budget:
    """A token bucket of lines, filled at `lines_per_s`."""

    def __init__(self, lines_per_s):
        self.lines_per_s, self.credit, self.updated_us = lines_per_s, 0.0, None

    def grant(self, now):
        """Return the number of lines that may be passed on at `now` (microseconds)."""
        if self.updated_us is not None:
            self.credit += (now - self.updated_us) * self.lines_per_s / 1_000_000
        self.updated_us = now
        # Limits the burst after the process was paused.
        self.credit = min(self.credit, self.lines_per_s * MAX_CREDIT_S)
        return int(self.credit)

    def spend(self, lines):
        """Charge lines to the budget."""
        self.credit -= lines


class Handover:
    """Selects lines by priority; see the module docstring.

    Keys of sums are the event's name with the worker, or with the slice and the class.
    """

    def __init__(self, lines_per_s):
        self.budget, self.sums_by_key, self.waiting, self.line_count, self.merged_count = (
            Budget(lines_per_s),
            {},
            {},
            0,
            0,
        )
        self.selected_us = None

    def add_tries(self, now, zone, worker, tries, lost, delay_sum_us, begin_us, load_report):
        """Add tries at a worker (counts, sum of delays in us); `load_report` is the worker's own or None."""
        sums = self._pending(("tries_reported", worker), now, begin_us)
        sums.count, sums.lost, sums.delay_sum_us, sums.zone = (
            sums.count + tries,
            sums.lost + lost,
            sums.delay_sum_us + delay_sum_us,
            zone,
        )
        if load_report:
            sums.load_report.update(load_report)

    def add_demand(self, now, slice_index, class_index, demanded, lost, begin_us):
        """Add transactions of a class in a slice, and how many of them were lost."""
        sums = self._pending(("demand_reported", slice_index, class_index), now, begin_us)
        sums.count, sums.lost = sums.count + demanded, sums.lost + lost

    def _pending(self, key, now, begin_us):
        """Return the sums of a key and mark them as waiting."""
        sums = self.sums_by_key.get(key)
        if sums is None:
            sums = self.sums_by_key[key] = PendingSums()
        if sums.waiting_since is None:
            sums.waiting_since, sums.begin_us = now, begin_us
            self.waiting[key] = sums  # longest waiting first
        elif begin_us < sums.begin_us:
            sums.begin_us = begin_us
        self.merged_count += 1
        return sums

    def _priority(self, key, sums, now):
        """The change in tries per second since the last line of these sums, lost ones twice, times the time waited."""
        span_s = max(250_000, now - sums.begin_us) / 1e6
        rate = sums.count / span_s
        change = abs(rate - sums.reported_rate) if sums.reported_rate is not None else rate + 1.0
        if key[0] == "tries_reported":
            lost_share = sums.lost / sums.count if sums.count else 0.0
            change += 2.0 * rate * abs(lost_share - sums.reported_lost_share)
        # Small counts differ by chance: the more tries, the more certain the change.
        certainty = sums.count / (sums.count + 2.0)
        return change * certainty * (now - sums.waiting_since + 100_000)

    def take(self, now):
        """Return the lines to be passed on now, at most once per SELECTION_INTERVAL_US.

        Priorities are computed only if the budget does not suffice for all waiting sums.
        """
        if self.selected_us is not None and now - self.selected_us < SELECTION_INTERVAL_US:
            return []
        self.selected_us = now
        lines = self.budget.grant(now)
        if not self.waiting or lines < 1:
            return []
        if len(self.waiting) <= lines:
            chosen = list(self.waiting)
        else:
            oldest_count = max(1, int(lines * OLDEST_SHARE))
            chosen = []
            for key, sums in self.waiting.items():
                if len(chosen) >= oldest_count and now - sums.waiting_since < MAX_WAIT_US or len(chosen) >= lines:
                    break
                chosen.append(key)
            chosen_keys = set(chosen)
            by_priority = sorted(
                (
                    (-self._priority(key, sums, now), position, key)
                    for position, (key, sums) in enumerate(self.waiting.items())
                    if key not in chosen_keys
                )
            )
            chosen += [key for _, _, key in by_priority[: lines - len(chosen)]]
        taken_lines = [self._take_line(key, now) for key in chosen]
        taken_lines = [line for line in taken_lines if line is not None]
        self.budget.spend(len(taken_lines))
        self.line_count += len(taken_lines)
        return taken_lines

    def _take_line(self, key, now):
        """Remove the sums of a key from the waiting ones and return their line, None if they round to 0."""
        sums = self.waiting.pop(key)
        count, lost = rounded_count(sums.count), rounded_count(sums.lost)
        span_us = max(1, now - sums.begin_us)
        line = None
        if count:
            sums.reported_rate, sums.reported_lost_share = (
                sums.count / (max(250_000, span_us) / 1e6),
                sums.lost / sums.count,
            )
            lost = min(lost, count)
            if key[0] == "tries_reported":
                answered = sums.count - sums.lost
                line = (
                    "tries_reported",
                    sums.zone,
                    key[1],
                    count,
                    lost,
                    round(sums.delay_sum_us / answered) if answered > 0 else 0,
                    span_us,
                    sums.load_report,
                )
                sums.load_report = {}
            else:
                line = ("demand_reported", key[1], key[2], count, lost, span_us)
        # The remainder of rounding is kept for the next line, so no try is omitted or counted twice.
        sums.count, sums.lost, sums.delay_sum_us = sums.count - count, sums.lost - lost, 0.0
        sums.waiting_since = None
        if sums.count >= 1:
            sums.waiting_since, sums.begin_us = now, now
            self.waiting[key] = sums
        return line


def rounded_count(value):
    """Round a sum to a count of 0 or more. Weighted samples give fractional sums, but the policy counts whole tries."""
    return max(0, int(value + 0.5))


class OldestFirst(Handover):
    """Baseline for comparison: oldest sums first, with separate lines for each zone and worker."""

    def add_tries(self, now, zone, worker, tries, lost, delay_sum_us, begin_us, load_report):
        """Add tries at a worker, by the zone of the reporter."""
        sums = self._pending(("tries_reported", worker, zone), now, begin_us)
        sums.count, sums.lost, sums.delay_sum_us, sums.zone = (
            sums.count + tries,
            sums.lost + lost,
            sums.delay_sum_us + delay_sum_us,
            zone,
        )
        if load_report:
            sums.load_report.update(load_report)

    def take(self, now):
        """Return the lines to be passed on now, oldest first."""
        lines = self.budget.grant(now)
        taken_lines = [
            line for line in (self._take_line(key, now) for key in list(self.waiting)[:lines]) if line is not None
        ]
        self.budget.spend(len(taken_lines))
        self.line_count += len(taken_lines)
        return taken_lines
