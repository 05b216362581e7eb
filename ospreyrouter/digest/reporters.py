"""Which reports count: sequence, clock and plausibility of each reporter.

    reporters = Reporters(most, interval_us)
    reason = reporters.admit(now, report)      # None, or why it is dropped; sets report.begin and report.end

A report covers the span before it was sent, by the reporter's clock. Clocks are not trusted: the smallest difference
between arrival and sending that was seen is taken for offset and shortest way, and what a report covers is placed on
this clock by it. A clock that was set anew shows as reports from the future or far in the past; it is followed once
several in a row agree.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

SEEN_BITS = 64  # reports back to which one that was overtaken on the way still counts
FUTURE_US = 250_000  # ahead of the shortest way by more than that: a clock that jumped
LATE_US = 30_000_000  # later than that on the way: of no use even for totals
FOLLOW_AFTER = 3  # reports in a row that contradict the clock before it is believed to be set anew
DRIFT_PPM = 200  # parts in a million by which the offset may creep up: two ordinary clocks


@dataclass(slots=True)
class Report:
    """One reporter's sums. `met` rows: (worker, tries, lost, delay total us, load report, delays by bucket or None);
    `demand` rows: (slice, class, came, lost). Times are microseconds of the reporter's clock."""

    reporter: str
    zone: str
    life: str
    sequence: int
    sent_us: int
    span_us: int
    met: list
    demand: list
    weight: float = 1.0
    pending: tuple = ()  # rows: (worker, tries in progress)
    refused: tuple = ()  # rows: (slice, class, count): what came and was not let in
    begin: int = field(default=0)
    end: int = field(default=0)


class Reporter:
    """What is known of one reporter."""

    __slots__ = (
        "life",
        "highest",
        "seen",
        "offset",
        "offset_at",
        "against",
        "heard_at",
        "end",
        "span",
        "skew",
        "stuck",
        "last_sum",
    )

    def __init__(self, life):
        self.life, self.highest, self.seen, self.offset, self.offset_at = life, None, 0, None, 0
        self.against, self.heard_at, self.end, self.span, self.skew = 0, 0, 0, 0, 0
        self.stuck, self.last_sum = 0, None


class Reporters:
    """All reporters heard of, at most `most`: the one not heard for longest is forgotten first, and counted."""

    def __init__(self, most):
        self.most, self.rows, self.forgotten = most, OrderedDict(), 0

    def admit(self, now, report):
        row = self.rows.get(report.reporter)
        if row is None:
            row = self.rows[report.reporter] = Reporter(report.life)
            if len(self.rows) > self.most:
                self.rows.popitem(last=False)
                self.forgotten += 1
        else:
            self.rows.move_to_end(report.reporter)
        if row.life != report.life:
            # It started anew and counts from the beginning; its clock may be another's.
            fresh = Reporter(report.life)
            fresh.heard_at = row.heard_at
            row = self.rows[report.reporter] = fresh
        reason = self._sequence(row, report.sequence) or self._clock(now, row, report)
        if reason is None:
            row.heard_at, row.span = now, report.span_us
            row.end = max(row.end, report.end)
            # A counter that stands still while tries go on looks the same each time, to the last digit.
            total = (len(report.met), sum(line[1] for line in report.met), sum(line[3] for line in report.met))
            row.stuck = row.stuck + 1 if total == row.last_sum and total[1] else 0
            row.last_sum = total
        return reason

    @staticmethod
    def _sequence(row, number):
        if row.highest is None or number > row.highest:
            ahead = 0 if row.highest is None else number - row.highest
            row.seen = (row.seen << ahead | 1) & (1 << SEEN_BITS) - 1 if ahead < SEEN_BITS else 1
            row.highest = number
            return None
        back = row.highest - number
        if back >= SEEN_BITS:
            return "too far back"
        if row.seen >> back & 1:
            return "repeated"
        row.seen |= 1 << back
        return None

    def _clock(self, now, row, report):
        apart = now - report.sent_us
        if row.offset is None:
            row.offset, row.offset_at = apart, now
        # The offset creeps up with time, or one quick message long ago would make all later ones seem late.
        floor = row.offset + (now - row.offset_at) * DRIFT_PPM // 1_000_000
        late = apart - floor
        if late < -FUTURE_US or late > LATE_US:
            row.against += 1
            if row.against < FOLLOW_AFTER:
                return "from the future" if late < 0 else "too late"
            row.offset, late = apart, 0
            row.offset_at = now
        elif late < 0:
            row.offset, row.offset_at, late = apart, now, 0
        row.against = 0
        row.skew = row.offset
        report.end = now - late
        report.begin = report.end - report.span_us
        return None

    def silent(self, now, after_us):
        """How many of those known have not been heard for so long."""
        return sum(now - row.heard_at > after_us for row in self.rows.values())

    def stuck(self, times=4):
        """How many have sent the same sums so many times in a row."""
        return sum(row.stuck >= times for row in self.rows.values())
