"""Identity of table versions: (fencing number, count), and a digest of the canonical form (RFC 8785).

The canonical form includes the digest of the parent version. Two tables with the same number but different digests are
a fork: a store was restored from a backup, or fencing failed.
"""

import hashlib

import rfc8785

from ..xds.documents import Table

NO_PARENT = ""  # parent digest of the first version of a slice


class DigestMismatch(Exception):
    """The content of a table does not match its digest."""


def canonical_form(slice_index, manager, version, parent, lines):
    """Returns the RFC 8785 canonical JSON, in bytes, that the digest is computed from."""
    rows = sorted([line.worker, line.host, line.port, line.zone, float(line.weight)] for line in lines)
    return rfc8785.dumps(
        {
            "slice": slice_index,
            "manager": manager,
            "version": f"{version[0]}.{version[1]}",
            "parent": parent,
            "lines": rows,
        }
    )


def compute_digest(slice_index, manager, version, parent, lines):
    """Returns the hexadecimal SHA-256 of the canonical form."""
    return hashlib.sha256(canonical_form(slice_index, manager, version, parent, lines)).hexdigest()


def next_version(previous, slice_index, manager, fence, lines):
    """Returns the Table that follows `previous` (None for the first one) under this fencing number."""
    count = previous.version[1] + 1 if previous is not None and previous.version[0] == fence else 1
    parent = previous.digest if previous is not None else NO_PARENT
    lines = tuple(lines)
    return Table(
        slice_index,
        manager,
        (fence, count),
        lines,
        parent,
        compute_digest(slice_index, manager, (fence, count), parent, lines),
    )


def verify_digest(table):
    """Raises DigestMismatch if the digest of a table is not that of its content."""
    if table.digest != compute_digest(table.slice, table.manager, table.version, table.parent, table.lines):
        raise DigestMismatch(
            f"slice {table.slice} version {table.version[0]}.{table.version[1]}: the digest does not match the content"
        )
