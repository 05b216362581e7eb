"""Libraries for callers that pick workers themselves: one follows table files, one speaks SASP.

Both have the calls `pick(slice)`, `weights(slice)`, `drain(worker, on)`, `subscribe(callback)` and `close()` and run on
a `Loop`. A worker is (host, port). `drain` returns a `Change`, whose outcome can be asked for (see `changes`).
`Blocking` wraps either library for blocking code and runs the loop itself.
"""

from .blocking import Blocking
from .changes import DID_NOT, SENT, TOOK_EFFECT, UNKNOWN, Change
from .files import FileFollower
from .sasp import SaspFollower

__all__ = ["Blocking", "Change", "DID_NOT", "FileFollower", "SENT", "SaspFollower", "TOOK_EFFECT", "UNKNOWN"]
