"""Merges proxies' sums until the module is told them: so many lines a second, the oldest first. No I/O.

What does not fit into a turn's lines waits and adds up, so totals are right however late.
"""


class Sums:
    """`met` by (zone, worker), `demand` by (slice, class); both in the order in which their first part came."""

    def __init__(self, lines_per_s):
        self.lines_per_s, self.credit, self.turned_at = lines_per_s, 0.0, None
        self.rows, self.merged, self.told = {}, 0, 0

    def met(self, zone, worker, tries, lost, delay_total, span, report):
        row = self.rows.setdefault(("met", zone, worker), [0, 0, 0.0, 0, {}])
        self._add(row, tries, lost, delay_total, span)
        row[4].update(report)

    def demand(self, item, kind, came, lost, span):
        self._add(self.rows.setdefault(("demanded", item, kind), [0, 0, 0.0, 0, {}]), came, lost, 0.0, span)

    def _add(self, row, count, lost, delay, span):
        self.merged += 1
        row[0] += count
        row[1] += lost
        row[2] += delay
        row[3] = max(row[3], span)

    def take(self, now):
        """Lines for the module: tuples that name its methods."""
        if self.turned_at is not None:
            self.credit += (now - self.turned_at) * self.lines_per_s / 1_000_000
        self.turned_at = now
        self.credit = min(self.credit, self.lines_per_s)  # a stand-still is no reason for a flood after it
        lines = []
        while self.rows and self.credit >= 1:
            key = next(iter(self.rows))
            count, lost, delay, span, report = self.rows.pop(key)
            self.credit -= 1
            if not count:
                continue
            if key[0] == "met":
                good = count - lost
                lines.append(("met", key[1], key[2], count, lost, round(delay / good) if good else 0, span, report))
            else:
                lines.append(("demanded", key[1], key[2], count, lost, span))
        self.told += len(lines)
        return lines
