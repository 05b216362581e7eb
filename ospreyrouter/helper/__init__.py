"""Disk operations beside the loop: a child process runs what may block while the loop goes on.

    calls = ProcessCalls(loop)                 # or InlineCalls(loop, disk), in virtual time and in tests
    calls.submit("replace_set", (folder, bodies), on_done)  # on_done(result, None) or on_done(None, OSError)

Operations (methods of `work.Work`) run one after the other in the order of the calls. A child process is used because
a flush that takes a second on a busy disk would otherwise delay drains, marks and custody by that second.
"""

from .calls import InlineCalls, ProcessCalls

__all__ = ["InlineCalls", "ProcessCalls"]
