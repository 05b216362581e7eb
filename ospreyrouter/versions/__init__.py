"""Versions of slice tables: identity, deltas between versions, history with retention, and rollback. No I/O.

`identity` names versions by digest and parent; `delta` computes deltas and applies them to their exact base; `history`
keeps the chain of versions of each slice and decides what retention may prune; `rollback` computes the lines of a new
version from an earlier one; `wall_clock_monitor` decides when the time of day is reliable enough for retention by age.
"""

from .delta import BaseMismatch, Delta, apply_delta, delta_is_cheaper, make_delta
from .history import StoredVersion, VersionHistory, VersionLookupError
from .identity import NO_PARENT, DigestMismatch, compute_digest, next_version, verify_digest
from .rollback import restorable_lines
from .wall_clock_monitor import WallClockMonitor

__all__ = [
    "BaseMismatch",
    "Delta",
    "DigestMismatch",
    "NO_PARENT",
    "StoredVersion",
    "VersionHistory",
    "VersionLookupError",
    "WallClockMonitor",
    "apply_delta",
    "compute_digest",
    "delta_is_cheaper",
    "make_delta",
    "next_version",
    "restorable_lines",
    "verify_digest",
]
