"""Deltas from one version of a table to the next.

A delta applies only to the exact version it was computed from, and its result is checked against the target digest.
"""

from ..xds.documents import Delta, Table
from .identity import DigestMismatch, compute_digest


class BaseMismatch(Exception):
    """The local table is not the version that the delta was computed from."""


def make_delta(old, new):
    """Returns the delta that turns `old` into its successor `new`."""
    old_lines = {line.worker: line for line in old.lines}
    changed = tuple(line for line in new.lines if old_lines.get(line.worker) != line)
    new_workers = {line.worker for line in new.lines}
    removed = tuple(sorted(name for name in old_lines if name not in new_workers))
    return Delta(new.slice, new.manager, new.version, old.digest, new.digest, changed, removed)


def delta_is_cheaper(delta, table):
    """Whether the delta costs fewer lines than the whole table; the line that names the base counts as one."""
    return delta.cost + 1 < len(table.lines)


def apply_delta(delta, base_table):
    """Returns the table that results from applying the delta to `base_table` (None if the slice has no table).

    Raises BaseMismatch if `base_table` is not the version that the delta was computed from, and DigestMismatch if the
    delta removes a worker that `base_table` does not list or if the result does not have the target digest.
    `base_table` is never modified.
    """
    if base_table is None or base_table.digest != delta.base:
        raise BaseMismatch(
            f"slice {delta.slice}: the delta to version {delta.version[0]}.{delta.version[1]} has a different base"
        )
    lines_by_worker = {line.worker: line for line in base_table.lines}
    for name in delta.removed:
        if lines_by_worker.pop(name, None) is None:
            raise DigestMismatch(f"slice {delta.slice}: the delta removes {name!r:.60}, which is not in the base table")
    for line in delta.changed:
        lines_by_worker[line.worker] = line
    lines = tuple(lines_by_worker[name] for name in sorted(lines_by_worker))
    if compute_digest(delta.slice, delta.manager, delta.version, delta.base, lines) != delta.target:
        raise DigestMismatch(f"slice {delta.slice}: the delta does not produce its target digest")
    return Table(delta.slice, delta.manager, delta.version, lines, delta.base, delta.target)
