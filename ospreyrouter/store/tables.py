"""Published tables with their history: one log for each manager, which only that manager writes and all managers read.

    store = TableStore(folder, "manager-0", calls)
    store.append(tables, on_done)   # one write and one flush; on_done(error or None)
    store.refresh()                 # reads what other managers have written since
    store.newest                    # {slice: table}: the table with the highest version in any log
    store.history                   # versions by slice, as far as retention keeps them

A record is one line: checksum, space, JSON of format, slice, version, digests, time and cause, a tab, and the table as
JSON. An incomplete last line is removed when the owner opens its log. A record that is damaged elsewhere is counted and
reported, and an older version of its slice, or one from another log, is used instead. From time to time a log is
rewritten through a temporary file and a rename, without the versions that retention no longer keeps. A log of a newer
format is rejected as a whole (`NewerFormat`).
"""

import os
import time
import zlib

import orjson

from ..versions import DigestMismatch, StoredVersion, VersionHistory, WallClockMonitor, verify_digest
from ..xds.documents import InvalidDocument, parse_full_table, table_resource

COMPACTION_THRESHOLD_BYTES = 8 << 20  # log size from which the log may be rewritten
FORMAT = 3


class NewerFormat(Exception):
    """A log was written by a newer program; the text names the file."""


def encode_record(table, at_us=0, cause=""):
    """Returns the line, in bytes, that stores a table with its time of publication (us since 1970) and its cause."""
    head = orjson.dumps([FORMAT, table.slice, list(table.version), table.digest, table.parent, at_us, cause])
    body = head + b"\t" + orjson.dumps(table_resource(table))
    return b"%08x %s\n" % (zlib.crc32(body), body)


def decode_record(line, name):
    """Returns the StoredVersion in a line without its newline; the table is parsed on first access.

    `name` is the file's, for error texts. Raises InvalidDocument or NewerFormat, or ValueError, KeyError or TypeError
    for JSON of another shape.
    """
    checksum, _, body = line.partition(b" ")
    try:
        is_intact = int(checksum, 16) == zlib.crc32(body)
    except ValueError:
        is_intact = False
    if not is_intact:
        raise InvalidDocument("its checksum is wrong")
    head, _, table = body.partition(b"\t")
    data = orjson.loads(head)
    if not isinstance(data, list) or not data or not isinstance(data[0], int):
        raise InvalidDocument("it has no format number")
    if data[0] > FORMAT:
        raise NewerFormat(f"{name}: has format {data[0]}, this program reads up to {FORMAT}")
    _, slice_index, version, digest, parent, at_us, cause = data
    return StoredVersion(
        slice_index,
        tuple(version),
        digest,
        parent,
        at_us,
        cause,
        lambda: parse_full_table(orjson.loads(table), name)[0],
    )


def wall_clock_us():
    """The time of day in microseconds since 1970: shown to people, and used for retention by age."""
    return time.time_ns() // 1000


def monotonic_us():
    """Microseconds of the monotonic clock."""
    return time.monotonic_ns() // 1000


class TableStore:
    """The table logs in a store folder.

    `calls` runs the writes off the event loop, in order; with `calls` None the store is read only. `wall_clock` and
    `monotonic_clock` return microseconds. The constructor reads all logs and raises NewerFormat.
    """

    def __init__(
        self,
        folder,
        manager,
        calls,
        on_open=lambda truncated_bytes, error: None,
        compaction_threshold=COMPACTION_THRESHOLD_BYTES,
        history=None,
        wall_clock=wall_clock_us,
        monotonic_clock=monotonic_us,
    ):
        self.folder, self.manager, self.calls, self.compaction_threshold = (
            os.path.join(folder, "tables"),
            manager,
            calls,
            compaction_threshold,
        )
        self.path = os.path.join(self.folder, f"{manager}.log")
        # `offsets` is {file name: (inode, bytes read)}; `own_digests` has the digests in the own log, in order.
        self.newest_versions, self.offsets, self.damage_reports, self.own_digests = {}, {}, [], {}
        self.history, self.wall_clock, self.monotonic_clock = (
            history if history is not None else VersionHistory(),
            wall_clock,
            monotonic_clock,
        )
        self.wall_clock_monitor = WallClockMonitor()
        self.size, self.compacted_size, self.compacting = 0, 0, False
        if calls is not None:
            os.makedirs(self.folder, exist_ok=True)
            calls.submit("open_log", (self.path,), on_open)
        self.refresh()

    def append(self, tables, on_done, cause=""):
        """Appends tables to the own log, then calls `on_done(error or None)`.

        If writing fails, the log is truncated to its previous size.
        """
        at_us = self.wall_clock()
        for table in tables:
            self._add(
                StoredVersion(table.slice, table.version, table.digest, table.parent, at_us, cause, loaded_table=table),
                is_own=True,
            )
        body = b"".join(encode_record(table, at_us, cause) for table in tables)

        def done(size, error):
            self.size = size if error is None else self.size
            on_done(error)

        self.calls.submit("append_log", (self.path, body), done)

    def prune(self):
        """Removes what retention no longer keeps from the history in memory and returns the number of versions.

        Age counts only while the time of day can be trusted.
        """
        now = self.wall_clock()
        return self.history.prune(now if self.wall_clock_monitor.is_trusted(self.monotonic_clock(), now) else None)

    def needs_compaction(self):
        """Whether the log has passed the threshold and has more than doubled since it was last rewritten."""
        return self.size > self.compaction_threshold and self.size > 2 * self.compacted_size and not self.compacting

    def compact(self):
        """Rewrites the own log with the versions that retention keeps; the old log stays if this fails."""
        self.compacting = True
        self.prune()
        kept = sorted(
            (stored for stored in self.history.by_digest.values() if stored.digest in self.own_digests),
            key=lambda stored: (stored.at_us, stored.version, stored.slice),
        )
        self.own_digests = {stored.digest: None for stored in kept}
        body = b"".join(encode_record(stored.table, stored.at_us, stored.cause) for stored in kept)

        def done(size, error):
            self.compacting = False
            if error is None:
                self.size = self.compacted_size = size

        self.calls.submit("rewrite_log", (self.path, body), done)

    def _add(self, stored, is_own):
        self.history.add_version(stored)
        if is_own:
            self.own_digests[stored.digest] = None
        newest = self.newest_versions.get(stored.slice)
        if newest is None or stored.version > newest.version:
            self.newest_versions[stored.slice] = stored

    @property
    def newest(self):
        """{slice: table} of the newest version in all logs.

        A table that is damaged or has a wrong digest is added to `damage_reports` and replaced by the version before
        it.
        """
        tables = {}
        for slice_index, latest in self.newest_versions.items():
            for candidate in [latest, *reversed(self.history.by_slice.get(slice_index, ()))]:
                try:
                    verify_digest(candidate.table)
                    tables[slice_index] = candidate.table
                    break
                except (ValueError, KeyError, TypeError, InvalidDocument, DigestMismatch) as error:
                    self.damage_reports.append(
                        f"slice {slice_index} version {candidate.version[0]}.{candidate.version[1]}: {error}"
                    )
        return tables

    def refresh(self):
        """Reads what was written to any log since the last call. Raises NewerFormat."""
        for name in sorted(os.listdir(self.folder)):
            if not name.endswith(".log"):
                continue
            try:
                with open(os.path.join(self.folder, name), "rb") as file:
                    status = os.fstat(file.fileno())
                    inode, offset = self.offsets.get(name, (status.st_ino, 0))
                    if inode != status.st_ino or status.st_size < offset:
                        offset = 0  # the log was rewritten
                    file.seek(offset)
                    body = file.read()
            except OSError:
                continue
            complete_size = body.rfind(b"\n") + 1
            line_offset = offset
            for line in body[:complete_size].splitlines():
                self._read_record(name, line_offset, line)
                line_offset += len(line) + 1
            self.offsets[name] = (status.st_ino, offset + complete_size)

    def _read_record(self, name, offset, line):
        """Adds the version in a line; a damaged line is reported with its byte offset in the file."""
        try:
            stored = decode_record(line, name)
        except (ValueError, KeyError, TypeError, InvalidDocument) as error:
            self.damage_reports.append(f"{name} at byte {offset}: {error}")
            return
        self._add(stored, is_own=name == f"{self.manager}.log")
