"""What callers of the file front keep away from: `CallerDrains`. No I/O.

A caller's drain is its own: it picks that worker no more, and what others do is not touched. The manager keeps it so
that it is still known when the caller starts anew.
"""

WORKERS_MOST = 500
CALLERS_MOST = 10_000


class TooMany(Exception):
    """More callers, or more workers of one caller, than are kept."""


class CallerDrains:
    """The last word on each worker, by caller: also "not any more", for another manager may still hold an older
    word.
    """

    def __init__(self, workers_most=WORKERS_MOST, callers_most=CALLERS_MOST):
        self.workers_most, self.callers_most, self.rows = workers_most, callers_most, {}

    def of(self, caller):
        """[(host, port, on, at)]"""
        return [(*worker, on, at) for worker, (on, at) in sorted(self.rows.get(caller, {}).items())]

    def set(self, caller, worker, on, at):
        """Returns what undoes it; an older word than the one held changes nothing. Raises TooMany."""
        rows = self.rows.get(caller, {})
        before = rows.get(worker)
        if before is None and (len(rows) >= self.workers_most or not rows and len(self.rows) >= self.callers_most):
            raise TooMany(f"{len(rows)} workers, {len(self.rows)} callers")
        if before is None or at > before[1]:
            self.rows.setdefault(caller, {})[worker] = (on, at)
        return lambda: self._back(caller, worker, before)

    def _back(self, caller, worker, before):
        rows = self.rows.setdefault(caller, {})
        rows.pop(worker, None)
        if before is not None:
            rows[worker] = before
        if not rows:
            del self.rows[caller]
