"""Libraries for callers that pick workers by themselves: one follows the file front, one speaks SASP.

Both have the same calls: `pick(slice)`, `weights(slice)`, `drain(worker, on)`, `subscribe(callback)`, `close()`, and
run on a loop. A worker is (host, port). `drain` returns a change that can be asked about (`changes`). `Blocking` wraps
either for plain code: it turns the loop itself.
"""

from .blocking import Blocking
from .changes import DID_NOT, SENT, TOOK_EFFECT, UNKNOWN, Change
from .files import FileFollower
from .sasp import SaspFollower

__all__ = ["Blocking", "Change", "DID_NOT", "FileFollower", "SENT", "SaspFollower", "TOOK_EFFECT", "UNKNOWN"]
