"""What a version of a table is, how one follows from another, and how an earlier one comes back. No I/O.

`identity` names versions by digest and parent; `delta` makes and applies changes on an exact base; `history` keeps
chains and says what may be pruned; `rollback` makes the lines of a new version from an old one.
"""

from .delta import Delta, WrongBase, apply, between, worth
from .history import History, Kept, Unknown
from .identity import NO_PARENT, Altered, digest_of, successor, verify
from .rollback import lines_to_return
from .time_of_day import TimeOfDay

__all__ = [
    "Altered",
    "Delta",
    "History",
    "Kept",
    "NO_PARENT",
    "TimeOfDay",
    "Unknown",
    "WrongBase",
    "apply",
    "between",
    "digest_of",
    "lines_to_return",
    "successor",
    "verify",
    "worth",
]
