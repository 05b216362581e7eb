"""What callers of the file front keep away from: `CallerDrains`. No I/O.

A caller's drain is its own: it picks that worker no more, and what others do is not touched. The manager keeps it so
that it is still known when the caller starts anew.
"""

WORKERS_MOST = 500
CALLERS_MOST = 10_000


class TooMany(Exception):
    """More callers, or more workers of one caller, than are kept."""


class CallerDrains:
    def __init__(self, workers_most=WORKERS_MOST, callers_most=CALLERS_MOST):
        self.workers_most, self.callers_most, self.rows = workers_most, callers_most, {}

    def of(self, caller):
        return sorted(self.rows.get(caller, ()))

    def set(self, caller, worker, on):
        """Returns what undoes it. Raises TooMany."""
        rows = self.rows.get(caller, set())
        before = worker in rows
        if on and not before:
            if len(rows) >= self.workers_most or not rows and len(self.rows) >= self.callers_most:
                raise TooMany(f"{len(rows)} workers, {len(self.rows)} callers")
        self._put(caller, worker, on)
        return lambda: self._put(caller, worker, before)

    def _put(self, caller, worker, on):
        rows = self.rows.setdefault(caller, set())
        (rows.add if on else rows.discard)(worker)
        if not rows:
            del self.rows[caller]
