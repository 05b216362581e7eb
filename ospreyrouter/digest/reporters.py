"""Decides which reports count, by sequence number and clock of each reporter.

    reporters = Reporters(max_reporters)
    reason = reporters.admit(now, report)      # None, or why it is dropped; sets report.begin_us and report.end_us

A report covers the span before it was sent, by the clock of the reporter. Clocks are not trusted: the smallest
difference seen between arrival and sending is taken as the offset of the clock plus the shortest transit time, and the
span is converted to the manager's clock by it. If a clock is set anew, its reports seem to come from the future or from
the distant past. The new clock is followed once several reports in a row agree.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

SEQUENCE_WINDOW = 64  # a report that was overtaken by fewer others still counts
MAX_EARLY_US = 250_000  # a report that is earlier than the shortest transit time by more shows that the clock jumped
MAX_LATE_US = 30_000_000  # a report with a longer transit time is useless even for totals
CONTRADICTIONS_TO_FOLLOW = 3  # reports in a row that contradict the clock, after which it counts as set anew
DRIFT_PPM = 200  # assumed drift between two ordinary clocks, in parts per million


@dataclass(slots=True)
class Report:
    """The sums of one reporter over a span of time.

    `try_rows` are (worker, tries, lost, sum of delays in us, load report, [(delay in us, count)] or None),
    `demand_rows` are (slice, class, transactions, lost). `sent_us` is by the reporter's clock, `begin_us` and `end_us`
    are by that of the manager and are set by `Reporters.admit`. `weight` is above 1 if reports are sampled.
    """

    reporter: str
    zone: str
    incarnation: str
    sequence: int
    sent_us: int
    span_us: int
    try_rows: list
    demand_rows: list
    weight: float = 1.0
    pending_rows: tuple = ()  # rows: (worker, tries in progress)
    refused_rows: tuple = ()  # rows: (slice, class, count) of transactions that were not admitted
    begin_us: int = field(default=0)
    end_us: int = field(default=0)


class ReporterState:
    """Sequence numbers and clock of one reporter.

    `seen_sequences` is a bit mask of the last SEQUENCE_WINDOW numbers up to `highest_sequence`. `contradictions` and
    `repeats` count reports in a row that contradict the clock, or that have the same sums as the one before.
    """

    __slots__ = (
        "incarnation",
        "highest_sequence",
        "seen_sequences",
        "clock_offset_us",
        "clock_offset_at_us",
        "contradictions",
        "last_report_us",
        "newest_end_us",
        "last_span_us",
        "skew_us",
        "repeats",
        "last_sums",
    )

    def __init__(self, incarnation):
        self.incarnation, self.highest_sequence, self.seen_sequences, self.clock_offset_us, self.clock_offset_at_us = (
            incarnation,
            None,
            0,
            None,
            0,
        )
        self.contradictions, self.last_report_us, self.newest_end_us, self.last_span_us, self.skew_us = 0, 0, 0, 0, 0
        self.repeats, self.last_sums = 0, None


class Reporters:
    """The known reporters, at most `max_reporters`; the one without reports for the longest time is evicted first."""

    def __init__(self, max_reporters):
        self.max_reporters, self.states, self.evicted = max_reporters, OrderedDict(), 0

    def admit(self, now, report):
        """Accept a report and set its `begin_us` and `end_us`. Returns None, or why it is dropped."""
        state = self.states.get(report.reporter)
        if state is None:
            state = self.states[report.reporter] = ReporterState(report.incarnation)
            if len(self.states) > self.max_reporters:
                self.states.popitem(last=False)
                self.evicted += 1
        else:
            self.states.move_to_end(report.reporter)
        if state.incarnation != report.incarnation:
            # The reporter was restarted: its sequence numbers start again, and its clock may differ.
            new_state = ReporterState(report.incarnation)
            new_state.last_report_us = state.last_report_us
            state = self.states[report.reporter] = new_state
        reason = self._check_sequence(state, report.sequence) or self._place_span(now, state, report)
        if reason is None:
            state.last_report_us, state.last_span_us = now, report.span_us
            state.newest_end_us = max(state.newest_end_us, report.end_us)
            # If the counters of a reporter are stuck, consecutive reports have exactly the same sums.
            sums = (
                len(report.try_rows),
                sum(row[1] for row in report.try_rows),
                sum(row[3] for row in report.try_rows),
            )
            state.repeats = state.repeats + 1 if sums == state.last_sums and sums[1] else 0
            state.last_sums = sums
        return reason

    @staticmethod
    def _check_sequence(state, number):
        """Return why the sequence number does not count, or None and mark it as seen."""
        if state.highest_sequence is None or number > state.highest_sequence:
            ahead = 0 if state.highest_sequence is None else number - state.highest_sequence
            state.seen_sequences = (
                (state.seen_sequences << ahead | 1) & (1 << SEQUENCE_WINDOW) - 1 if ahead < SEQUENCE_WINDOW else 1
            )
            state.highest_sequence = number
            return None
        back = state.highest_sequence - number
        if back >= SEQUENCE_WINDOW:
            return "too far back"
        if state.seen_sequences >> back & 1:
            return "repeated"
        state.seen_sequences |= 1 << back
        return None

    def _place_span(self, now, state, report):
        """Convert the span of a report to the manager's clock. Returns None, or why the report is dropped."""
        difference_us = now - report.sent_us
        if state.clock_offset_us is None:
            state.clock_offset_us, state.clock_offset_at_us = difference_us, now
        # The offset may grow with time. Otherwise one fast report would make all later ones seem late if clocks drift.
        expected_us = state.clock_offset_us + (now - state.clock_offset_at_us) * DRIFT_PPM // 1_000_000
        lateness_us = difference_us - expected_us
        if lateness_us < -MAX_EARLY_US or lateness_us > MAX_LATE_US:
            state.contradictions += 1
            if state.contradictions < CONTRADICTIONS_TO_FOLLOW:
                return "from the future" if lateness_us < 0 else "too late"
            state.clock_offset_us, lateness_us = difference_us, 0
            state.clock_offset_at_us = now
        elif lateness_us < 0:
            state.clock_offset_us, state.clock_offset_at_us, lateness_us = difference_us, now, 0
        state.contradictions = 0
        state.skew_us = state.clock_offset_us
        report.end_us = now - lateness_us
        report.begin_us = report.end_us - report.span_us
        return None

    def silent(self, now, after_us):
        """Return the number of known reporters without a report for more than `after_us`."""
        return sum(now - state.last_report_us > after_us for state in self.states.values())

    def stuck(self, min_repeats=4):
        """Return the number of reporters that have repeated the same sums at least `min_repeats` times in a row."""
        return sum(state.repeats >= min_repeats for state in self.states.values())
