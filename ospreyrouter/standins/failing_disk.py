"""A disk on which a chosen call fails or ends the process, flushes included.

Tests and benchmarks use it to check what a store survives.
"""

import errno

from ..files import Disk


class Killed(BaseException):
    """Stands for the end of the process at a call: nothing after it is executed."""


class FailingDisk(Disk):
    """A disk whose first `allowed` calls succeed; the calls after these fail as `mode` says.

    "full": all later calls raise OSError(ENOSPC); "once": only the next call does. "half": a write is carried out for
    the first half of its data, then Killed is raised. "after": the call is carried out, then Killed is raised. Any
    other mode: Killed is raised and nothing is carried out.
    """

    def __init__(self, allowed, mode):
        super().__init__(flush=True)
        self.allowed_calls, self.mode, self.calls_made = allowed, mode, 0

    def _count_call(self):
        self.calls_made += 1
        return (
            self.calls_made == self.allowed_calls + 1 if self.mode == "once" else self.calls_made > self.allowed_calls
        )

    def _fail(self):
        raise OSError(errno.ENOSPC, "No space left on device") if self.mode in ("full", "once") else Killed()


def failing_method(name):
    """The method `name` of FailingDisk: that of Disk, counted and with the failure of the mode."""

    def call(self, *values, **keywords):
        if self._count_call():
            if self.mode == "half" and name in ("write_new", "append"):
                getattr(Disk, name)(self, values[0], values[1][: len(values[1]) // 2])
            if self.mode == "after":
                getattr(Disk, name)(self, *values, **keywords)
            self._fail()
        return getattr(Disk, name)(self, *values, **keywords)

    return call


for call_name in ("make_folder", "write_new", "link", "flush_folder", "swap_symlink", "append", "rename", "flush_file"):
    setattr(FailingDisk, call_name, failing_method(call_name))
