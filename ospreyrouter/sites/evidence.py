"""What was seen of a site lately, by kind: rings of fixed buckets. No I/O.

    evidence = Evidence(kinds, window_us)
    evidence.heard(now, kind, good, bad)
    evidence.part(now, kind, least)     # good / all within the window, or None where fewer than `least` were seen
"""

BUCKETS = 8


class Evidence:
    def __init__(self, kinds, window_us):
        self.step = max(1, window_us // BUCKETS)
        self.rings = {kind: [[-1, 0.0, 0.0] for _ in range(BUCKETS)] for kind in kinds}

    def heard(self, now, kind, good, bad):
        number = now // self.step
        row = self.rings[kind][number % BUCKETS]
        if row[0] != number:
            row[:] = [number, 0.0, 0.0]
        row[1] += good
        row[2] += bad

    def counts(self, now, kind):
        first = now // self.step - BUCKETS + 1
        rows = [row for row in self.rings[kind] if row[0] >= first]
        return sum(row[1] for row in rows), sum(row[2] for row in rows)

    def part(self, now, kind, least):
        good, bad = self.counts(now, kind)
        return good / (good + bad) if good + bad >= least else None
