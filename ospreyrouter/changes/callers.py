"""Drains that callers of the file front have requested: `CallerDrains`. No I/O.

A caller's drain concerns that caller only: it no longer picks the worker, and other callers are not affected. The
manager stores it, so that it is still known when the caller restarts.
"""

MAX_WORKERS_PER_CALLER = 500
MAX_CALLERS = 10_000


class TooManyDrains(Exception):
    """There are more callers, or more workers of one caller, than are kept."""


class CallerDrains:
    """The most recent statement about each worker, by caller.

    Statements that end a drain are kept as well, because another manager may still hold an older statement.
    """

    def __init__(self, max_workers=MAX_WORKERS_PER_CALLER, max_callers=MAX_CALLERS):
        self.max_workers, self.max_callers, self.by_caller = max_workers, max_callers, {}

    def list_drains(self, caller):
        """Returns [(host, port, on, at)] of a caller, sorted by worker; `at` rises with each change of the caller."""
        return [(*worker, on, at) for worker, (on, at) in sorted(self.by_caller.get(caller, {}).items())]

    def record(self, caller, worker, on, at):
        """Records whether a caller drains a worker (host, port) as of `at`, and returns a function that undoes it.

        A statement that is older than the recorded one changes nothing. Raises TooManyDrains.
        """
        drains = self.by_caller.get(caller, {})
        previous = drains.get(worker)
        if previous is None and (
            len(drains) >= self.max_workers or not drains and len(self.by_caller) >= self.max_callers
        ):
            raise TooManyDrains(f"{len(drains)} workers of this caller and {len(self.by_caller)} callers are recorded")
        if previous is None or at > previous[1]:
            self.by_caller.setdefault(caller, {})[worker] = (on, at)
        return lambda: self._undo(caller, worker, previous)

    def _undo(self, caller, worker, previous):
        drains = self.by_caller.setdefault(caller, {})
        drains.pop(worker, None)
        if previous is not None:
            drains[worker] = previous
        if not drains:
            del self.by_caller[caller]
