"""Decides which reports can be right, by what the proxies usually send. No I/O.

    limits = ReportLimits(setup, proxy_traffic)
    limits.is_possible(tries, span_us)   # a report of `tries` within `span_us`

A report that is impossible is left out as a whole. One that is possible and wrong is not recognized.
"""

from dataclasses import dataclass

DEFAULT_PERIOD_US = 500_000  # between two reports, where the settings state none


@dataclass(frozen=True)
class RejectedReport:
    """A report that was left out. `subject` is what it is about; `zone` is the name of its reporter's zone.

    `tries` were reported within `span_us`, where `max_tries` are possible.
    """

    subject: str
    zone: str
    tries: int
    span_us: int
    max_tries: float

    def __str__(self):
        return (
            f"impossible report of {self.subject} from zone {self.zone}: {self.tries} tries in "
            f"{self.span_us // 1000} ms, {self.max_tries:.0f} are possible"
        )


class ReportLimits:
    """The largest number of tries that a report may have."""

    def __init__(self, setup, proxy_traffic):
        self.setup, self.proxy_traffic = setup, proxy_traffic
        self.period_us = setup.report_period_us or DEFAULT_PERIOD_US

    def max_tries(self, span_us):
        """The most tries of one report over `span_us`, one period more included, as counts arrive in periods.

        It is what all proxies send at `overload_multiple` times their usual rate: no plan could serve more than that
        for one slice or worker. Infinite if no proxy has stated its rate.
        """
        rate = self.proxy_traffic.tries_per_s
        if rate is None:
            return float("inf")
        return self.setup.overload_multiple * rate * (max(span_us, 0) + self.period_us) / 1_000_000

    def is_possible(self, tries, span_us):
        """Whether all proxies together can have sent `tries` within `span_us`."""
        return tries <= self.max_tries(span_us)
