"""Estimates of the recent performance of each worker from the reports of all reporters, with their reliability.

    sums = WorkerSums()
    sums.add(now, begin_us, end_us, tries, lost, delay_sum_us, weight)     # the order of reports does not matter
    estimate = sums.estimate(now, settling_us)

Counts are added to the buckets of the time in which they were counted. The newest buckets are incomplete while reports
are under way, so an estimate covers the newest completely reported span, and states its age.
"""

import math
from dataclasses import dataclass

BUCKET_US = 500_000
BUCKET_COUNT = 32  # 16 s of history, longer than any report is useful
# Buckets per estimate: 4 s, twice the usual span of a report. Reports that overlap the edges of the span are the
# largest error (99th percentile 0.10 for a span of 2 s, 0.06 for 3 s).
SPAN_BUCKETS = 8
CONFIDENCE_DECAY_US = 10_000_000  # without reports, confidence falls linearly to 0 within this time


@dataclass(frozen=True, slots=True)
class Estimate:
    """Recent performance of a worker.

    `rate` is in tries per second, `lost` the share of lost tries, `delay_us` the mean delay of answered tries, `age_us`
    the age of the middle of the span, or of the last report if that is older. `tries` is the number of tries in the
    span, `spread` the relative standard error due to sampling, `confidence` from 0 to 1. `contradiction`, also from 0
    to 1, is how far losses exceed the utilization that the worker itself reports.
    """

    rate: float
    lost: float
    delay_us: float
    age_us: int
    tries: float
    spread: float
    confidence: float
    contradiction: float


def bucket_shares(now, begin_us, end_us):
    """Distribute a span evenly over buckets: [(index in the ring, share)], for buckets that the ring has at `now`."""
    current, end_us = now // BUCKET_US, min(end_us, now)
    begin_us = min(begin_us, end_us - 1)
    first, last, span_us = begin_us // BUCKET_US, (end_us - 1) // BUCKET_US, end_us - begin_us
    if first == last:
        return [(first % BUCKET_COUNT, 1.0)] if first > current - BUCKET_COUNT else []
    return [
        (bucket % BUCKET_COUNT, (min(end_us, (bucket + 1) * BUCKET_US) - max(begin_us, bucket * BUCKET_US)) / span_us)
        for bucket in range(max(first, current - BUCKET_COUNT + 1), last + 1)
    ]


class WorkerSums:
    """Ring of buckets of one worker: [tries, lost tries, sum of delays, sum of squared weights].

    The squared weights give the spread that is due to sampling.
    """

    __slots__ = (
        "newest_bucket",
        "buckets",
        "last_report_us",
        "newest_end_us",
        "total",
        "total_lost",
        "load_report",
        "load_report_us",
        "sketch",
        "started_us",
    )

    def __init__(self):
        self.newest_bucket, self.buckets = 0, [[0.0, 0.0, 0.0, 0.0] for _ in range(BUCKET_COUNT)]
        self.last_report_us, self.newest_end_us, self.total, self.total_lost = None, 0, 0.0, 0.0
        self.load_report, self.load_report_us, self.sketch, self.started_us = {}, 0, None, None

    def reset(self, started_us):
        """Discard all sums, as another process of the worker has started."""
        self.__init__()
        self.started_us = started_us

    def _advance(self, bucket):
        """Make `bucket` the newest one, and clear the buckets that the ring reuses."""
        for index in range(max(self.newest_bucket + 1, bucket - BUCKET_COUNT + 1), bucket + 1):
            self.buckets[index % BUCKET_COUNT] = [0.0, 0.0, 0.0, 0.0]
        self.newest_bucket = max(self.newest_bucket, bucket)

    def add(self, now, begin_us, end_us, tries, lost, delay_sum_us, weight=1.0, shares=None):
        """Add counts of the span [begin_us, end_us), distributed evenly.

        What is older than the ring counts in the totals only. `shares` is the result of `bucket_shares`, which is the
        same for all rows of a report.
        """
        if now // BUCKET_US > self.newest_bucket:
            self._advance(now // BUCKET_US)
        weighted_tries, weighted_lost, weighted_delay = tries * weight, lost * weight, delay_sum_us * weight
        self.total += weighted_tries
        self.total_lost += weighted_lost
        if self.last_report_us is None or now > self.last_report_us:
            self.last_report_us = now
        if end_us > self.newest_end_us:
            self.newest_end_us = end_us
        weighted_square, buckets = weighted_tries * weight, self.buckets
        for index, share in shares if shares is not None else bucket_shares(now, begin_us, end_us):
            sums = buckets[index]
            sums[0] += weighted_tries * share
            sums[1] += weighted_lost * share
            sums[2] += weighted_delay * share
            sums[3] += weighted_square * share

    def estimate(self, now, settling_us):
        """Return the Estimate over the newest SPAN_BUCKETS buckets that ended at least `settling_us` ago."""
        self._advance(now // BUCKET_US)
        last_bucket = (now - settling_us) // BUCKET_US - 1
        tries = lost = delay_sum_us = weighted_square = 0.0
        for bucket in range(last_bucket - SPAN_BUCKETS + 1, last_bucket + 1):
            if bucket > self.newest_bucket - BUCKET_COUNT:
                sums = self.buckets[bucket % BUCKET_COUNT]
                tries, lost, delay_sum_us, weighted_square = (
                    tries + sums[0],
                    lost + sums[1],
                    delay_sum_us + sums[2],
                    weighted_square + sums[3],
                )
        seconds = SPAN_BUCKETS * BUCKET_US / 1e6
        # The age is that of the middle of the span, or of the last report if that is older.
        age_us = now - ((last_bucket + 1) * BUCKET_US - SPAN_BUCKETS * BUCKET_US // 2)
        since_report_us = now - self.last_report_us if self.last_report_us is not None else CONFIDENCE_DECAY_US
        # Reports about other workers do not refresh the estimate of a worker without tries.
        silent_us = max(0, since_report_us - settling_us)
        tries_in_ring = sum(sums[0] for sums in self.buckets)
        confidence = max(0.0, 1.0 - silent_us / CONFIDENCE_DECAY_US) * (1.0 - 1.0 / (1.0 + tries_in_ring))
        spread = math.sqrt(weighted_square) / tries if tries > 0 else 1.0
        lost_share = lost / tries if tries > 0 else 0.0
        return Estimate(
            tries / seconds,
            lost_share,
            delay_sum_us / (tries - lost) if tries - lost > 0 else 0.0,
            max(age_us, since_report_us) if silent_us else age_us,
            tries,
            spread,
            confidence,
            self._contradiction(lost_share, now),
        )

    def _contradiction(self, lost_share, now):
        """How far the share of lost tries exceeds the utilization that the worker reports, 0 to 1."""
        utilization = self.load_report.get("utilization")
        if utilization is None or now - self.load_report_us > CONFIDENCE_DECAY_US:
            return 0.0
        return max(0.0, lost_share - min(1.0, utilization))
