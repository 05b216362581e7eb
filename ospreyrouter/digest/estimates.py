"""What each worker did of late, from all reporters, with how much it can be trusted.

    rows = WorkerSums(worker)
    rows.add(now, begin, end, tries, lost, delay, weight)     # in any order of arrival: the same end
    estimate = rows.estimate(now, settled_us)                 # value, age, tries behind it, spread, confidence

Counts are placed in the buckets of the time they were counted in. The newest buckets are incomplete while reports
are under way; an estimate is of the newest span that is settled, and says how old that is.
"""

import math
from dataclasses import dataclass

BUCKET_US = 500_000
BUCKETS = 32  # of 0.5 s: 16 s of history, longer than any report is useful
SPAN_BUCKETS = 8  # an estimate is over so many settled buckets: 4 s, twice the usual span of a report, whose smear at
# the edges is the largest error (2 s: p99 0.10, 3 s: 0.06)
FADE_US = 10_000_000  # after so long without a report nothing is known any more; until then trust falls evenly


@dataclass(frozen=True, slots=True)
class Estimate:
    """Tries a second, part lost, mean delay in us, with age in us, tries behind it, relative spread, confidence."""

    rate: float
    lost: float
    delay_us: float
    age_us: int
    tries: float
    spread: float
    confidence: float
    contradiction: float


def parts_of(now, begin, end):
    """[(place in the ring, part)] of a span spread evenly over buckets, as far as the ring at `now` still has them."""
    at, end = now // BUCKET_US, min(end, now)
    begin = min(begin, end - 1)
    first, last, span = begin // BUCKET_US, (end - 1) // BUCKET_US, end - begin
    if first == last:
        return [(first % BUCKETS, 1.0)] if first > at - BUCKETS else []
    return [
        (bucket % BUCKETS, (min(end, (bucket + 1) * BUCKET_US) - max(begin, bucket * BUCKET_US)) / span)
        for bucket in range(max(first, at - BUCKETS + 1), last + 1)
    ]


class WorkerSums:
    """Rings of one worker: tries, lost, delay, and squared weights for the spread that sampling adds."""

    __slots__ = ("at", "rows", "heard_at", "newest", "total", "total_lost", "load", "load_at", "sketch", "started_us")

    def __init__(self):
        self.at, self.rows = 0, [[0.0, 0.0, 0.0, 0.0] for _ in range(BUCKETS)]
        self.heard_at, self.newest, self.total, self.total_lost = None, 0, 0.0, 0.0
        self.load, self.load_at, self.sketch, self.started_us = {}, 0, None, None

    def forget(self, started_us):
        """Another process has its place: what the one before did says nothing of it."""
        self.__init__()
        self.started_us = started_us

    def _turn(self, bucket):
        for step in range(max(self.at + 1, bucket - BUCKETS + 1), bucket + 1):
            self.rows[step % BUCKETS] = [0.0, 0.0, 0.0, 0.0]
        self.at = max(self.at, bucket)

    def add(self, now, begin, end, tries, lost, delay, weight=1.0, parts=None):
        """Counts of [begin, end), spread evenly; what is older than the ring counts in the totals only. `parts` are
        those of `parts_of`, which are the same for all rows of one report."""
        if now // BUCKET_US > self.at:
            self._turn(now // BUCKET_US)
        tries_w, lost_w, delay_w = tries * weight, lost * weight, delay * weight
        self.total += tries_w
        self.total_lost += lost_w
        if self.heard_at is None or now > self.heard_at:
            self.heard_at = now
        if end > self.newest:
            self.newest = end
        square, rows = tries_w * weight, self.rows
        for place, part in parts if parts is not None else parts_of(now, begin, end):
            row = rows[place]
            row[0] += tries_w * part
            row[1] += lost_w * part
            row[2] += delay_w * part
            row[3] += square * part

    def estimate(self, now, settled_us):
        """Over the newest SPAN_BUCKETS whole buckets that ended `settled_us` ago or more."""
        self._turn(now // BUCKET_US)
        last = (now - settled_us) // BUCKET_US - 1
        tries = lost = delay = square = 0.0
        for bucket in range(last - SPAN_BUCKETS + 1, last + 1):
            if bucket > self.at - BUCKETS:
                row = self.rows[bucket % BUCKETS]
                tries, lost, delay, square = tries + row[0], lost + row[1], delay + row[2], square + row[3]
        seconds = SPAN_BUCKETS * BUCKET_US / 1e6
        # Age is that of the middle of what was counted; without any report, of the last one.
        age = now - ((last + 1) * BUCKET_US - SPAN_BUCKETS * BUCKET_US // 2)
        silence = now - self.heard_at if self.heard_at is not None else FADE_US
        # Of a worker that nobody tries nothing new is known, however many reports come from elsewhere.
        quiet = max(0, silence - settled_us)
        behind = sum(row[0] for row in self.rows)
        confidence = max(0.0, 1.0 - quiet / FADE_US) * (1.0 - 1.0 / (1.0 + behind))
        spread = math.sqrt(square) / tries if tries > 0 else 1.0
        lost_part = lost / tries if tries > 0 else 0.0
        return Estimate(
            tries / seconds,
            lost_part,
            delay / (tries - lost) if tries - lost > 0 else 0.0,
            max(age, silence) if quiet else age,
            tries,
            spread,
            confidence,
            self._contradiction(lost_part, now),
        )

    def _contradiction(self, lost_part, now):
        """The worker says that it is at ease, proxies met losses: 0 no contradiction, 1 a full one."""
        busy = self.load.get("utilization")
        if busy is None or now - self.load_at > FADE_US:
            return 0.0
        return max(0.0, lost_part - min(1.0, busy))
