"""Detects workers that answer nothing while tries wait there, before these tries are given up. No I/O.

    detector = SilenceDetector(patience_us)
    lost = detector.observe(now, reporter, pending, answered)    # {worker: tries that count as lost from now on}

`pending` are (worker, tries in progress) of one report (total_requests_in_progress of LRS), `answered` are the workers
that answered anything according to it.

A site that fails silently refuses nothing: its tries end by time-out only, seconds later. An overloaded worker,
however, answers something in the meantime. So a worker is silent for a reporter if tries have been in progress there
for `patience_us`, in report after report, and nothing was answered. These tries then count as lost once, and once more
when they end.
"""

from collections import OrderedDict

MAX_PAIRS = 100_000  # pairs of reporter and worker; the oldest one is evicted


class SilenceDetector:
    """Tries that wait at workers without answers, by reporter; see the module docstring."""

    def __init__(self, patience_us):
        self.patience_us, self.waits = patience_us, OrderedDict()  # {(reporter, worker): [since, counted tries]}
        self.workers_by_reporter = {}  # {reporter: workers with an entry in `waits`}

    def observe(self, now, reporter, pending, answered):
        """Evaluate one report. Returns {worker: tries that count as lost from now on}."""
        known_workers = self.workers_by_reporter.get(reporter)
        if not pending and not known_workers:
            return {}
        lost, waiting = {}, {worker: count for worker, count in pending if count > 0 and worker not in answered}
        for worker in (known_workers or set()) - waiting.keys():
            self._forget(reporter, worker)
        for worker, count in waiting.items():
            wait = self.waits.get((reporter, worker))
            if wait is None:
                wait = self.waits[reporter, worker] = [now, 0]
                self.workers_by_reporter.setdefault(reporter, set()).add(worker)
                if len(self.waits) > MAX_PAIRS:
                    self._forget(*next(iter(self.waits)))
            if now - wait[0] >= self.patience_us and count > wait[1]:
                lost[worker], wait[1] = count - wait[1], count
        return lost

    def _forget(self, reporter, worker):
        self.waits.pop((reporter, worker), None)
        workers = self.workers_by_reporter[reporter]
        workers.discard(worker)
        if not workers:
            del self.workers_by_reporter[reporter]
