"""Tables as last published: one log a manager, which only that manager writes and all managers read.

    store = TableStore(folder, "manager-0", calls)
    store.append(tables, on_done)   # one write, one flush; on_done(problem or None)
    store.refresh()                 # what others wrote since
    store.newest                    # {slice: table}: of all logs, the table with the highest version

A record is a line: checksum, space, JSON. A torn tail is cut when the owner opens its log; a record that is damaged
elsewhere is counted and named, and an older version of its slice or another log's stands in. Once a log holds
mostly records that newer ones replaced, it is written anew beside and renamed.
"""

import os
import zlib

import orjson

from ..xds.documents import BadDocument, table_resource, whole_table_of

COMPACT_AT = 8 << 20  # bytes of a log at which it is weighed whether to write it anew


def record(table):
    body = orjson.dumps(table_resource(table))
    return b"%08x %s\n" % (zlib.crc32(body), body)


class TableStore:
    """See the top of this module. `calls` does the writing, off the loop."""

    def __init__(self, folder, manager, calls, on_open=lambda cut, problem: None, compact_at=COMPACT_AT):
        self.folder, self.manager, self.calls, self.compact_at = os.path.join(folder, "tables"), manager, calls, compact_at
        os.makedirs(self.folder, exist_ok=True)
        self.path = os.path.join(self.folder, f"{manager}.log")
        self.newest, self.offsets, self.damaged, self.own = {}, {}, [], {}
        self.compacted_size, self.compacting = 0, False
        calls.ask("open_log", (self.path,), on_open)
        self.refresh()

    def append(self, tables, on_done):
        """Write tables; the log is cut back to what it was where that fails."""
        for table in tables:
            self.own[table.slice] = table
            self._take(table)
        body = b"".join(record(table) for table in tables)

        def done(size, problem):
            on_done(problem)
            if problem is None and size > self.compact_at and size > 2 * self.compacted_size and not self.compacting:
                self.compact()

        self.calls.ask("append_log", (self.path, body), done)

    def compact(self):
        """Write the own log anew with each slice's newest table only; the old log stands where that fails."""
        self.compacting = True
        body = b"".join(record(table) for _, table in sorted(self.own.items()))

        def done(size, problem):
            self.compacting = False
            if problem is None:
                self.compacted_size = size

        self.calls.ask("rewrite_log", (self.path, body), done)

    def _take(self, table):
        held = self.newest.get(table.slice)
        if held is None or table.version > held.version:
            self.newest[table.slice] = table

    def refresh(self):
        """Read what was written to any log since the last call."""
        for name in sorted(os.listdir(self.folder)):
            if not name.endswith(".log"):
                continue
            try:
                with open(os.path.join(self.folder, name), "rb") as file:
                    status = os.fstat(file.fileno())
                    inode, offset = self.offsets.get(name, (status.st_ino, 0))
                    if inode != status.st_ino or status.st_size < offset:
                        offset = 0  # written anew
                    file.seek(offset)
                    body = file.read()
            except OSError:
                continue
            whole = body.rfind(b"\n") + 1
            place = offset
            for line in body[:whole].splitlines():
                self._read(name, place, line)
                place += len(line) + 1
            self.offsets[name] = (status.st_ino, offset + whole)

    def _read(self, name, place, line):
        try:
            checksum, _, body = line.partition(b" ")
            if int(checksum, 16) != zlib.crc32(body):
                raise BadDocument("its checksum is wrong")
            table, _ = whole_table_of(orjson.loads(body), name)
        except (ValueError, BadDocument) as problem:
            self.damaged.append(f"{name} at byte {place}: {problem}")
            return
        if name == f"{self.manager}.log":
            held = self.own.get(table.slice)
            if held is None or table.version >= held.version:
                self.own[table.slice] = table
        self._take(table)
