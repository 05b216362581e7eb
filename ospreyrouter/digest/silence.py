"""Workers that answer nothing while tries wait there, before these tries are given up. No I/O; the clock is an
argument.

    silence = Silence(patience_us)
    lost = silence.heard(now, reporter, pending, answered)    # {worker: tries that count as lost from now on}

`pending` are (worker, tries in progress) of one report (LRS's total_requests_in_progress), `answered` the workers that
it says answered anything. A site that goes dark refuses nothing: its tries end by time-outs only, seconds later. A
worker that is only crowded answers something meanwhile; one at which a reporter had tries in progress for a patience,
report after report, and nothing was answered, is silent for that reporter. Its tries count as lost once then, and once
more when they end.
"""

from collections import OrderedDict

ROWS_MOST = 100_000  # pairs of reporter and worker; the oldest is forgotten


class Silence:
    def __init__(self, patience_us):
        self.patience_us, self.rows = patience_us, OrderedDict()  # (reporter, worker): [since, counted]
        self.of = {}  # reporter: workers that it has rows of

    def heard(self, now, reporter, pending, answered):
        held = self.of.get(reporter)
        if not pending and not held:
            return {}
        lost, waiting = {}, {worker: count for worker, count in pending if count > 0 and worker not in answered}
        for worker in (held or set()) - waiting.keys():
            self._forget(reporter, worker)
        for worker, count in waiting.items():
            row = self.rows.get((reporter, worker))
            if row is None:
                row = self.rows[reporter, worker] = [now, 0]
                self.of.setdefault(reporter, set()).add(worker)
                if len(self.rows) > ROWS_MOST:
                    self._forget(*next(iter(self.rows)))
            if now - row[0] >= self.patience_us and count > row[1]:
                lost[worker], row[1] = count - row[1], count
        return lost

    def _forget(self, reporter, worker):
        self.rows.pop((reporter, worker), None)
        workers = self.of[reporter]
        workers.discard(worker)
        if not workers:
            del self.of[reporter]
