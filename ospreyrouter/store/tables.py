"""Tables as last published: one log a manager, which only that manager writes and all managers read.

    store = TableStore(folder, "manager-0", disk)
    store.append(tables)      # one write, one flush; raises OSError, the log is as it was before
    store.refresh()           # what others wrote since
    store.newest              # {slice: table}: of all logs, the table with the highest version

A record is a line: checksum, space, JSON. A torn tail is cut when the owner opens its log; a record that is damaged
elsewhere is counted and named, and an older version of its slice or another log's stands in. Once a log holds
mostly records that newer ones replaced, it is written anew beside and renamed.
"""

import os
import zlib

import orjson

from ..xds.documents import BadDocument, table_of, table_resource

COMPACT_AT = 8 << 20  # bytes of a log at which it is weighed whether to write it anew


class TableStore:
    """See the top of this module."""

    def __init__(self, folder, manager, disk, compact_at=COMPACT_AT):
        self.folder, self.manager, self.disk, self.compact_at = os.path.join(folder, "tables"), manager, disk, compact_at
        os.makedirs(self.folder, exist_ok=True)
        self.path = os.path.join(self.folder, f"{manager}.log")
        self.newest, self.offsets, self.damaged, self.own = {}, {}, [], {}
        self.cut = self._cut_tail()
        self.handle = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.size = os.fstat(self.handle).st_size
        self.compacted_size = self.size
        self.refresh()

    def _cut_tail(self):
        """Bytes after the last whole record: a crash in the middle of a write leaves them."""
        try:
            with open(self.path, "r+b") as file:
                body = file.read()
                good = body.rfind(b"\n") + 1
                file.truncate(good)
                return len(body) - good
        except FileNotFoundError:
            return 0

    @staticmethod
    def _record(table):
        body = orjson.dumps(table_resource(table))
        return b"%08x %s\n" % (zlib.crc32(body), body)

    def append(self, tables):
        """Write tables; returns nothing. Raises OSError with the log cut back to what it was."""
        body = b"".join(self._record(table) for table in tables)
        try:
            view = memoryview(body)
            while view:
                view = view[os.write(self.handle, view):]
            if self.disk.flush:
                os.fdatasync(self.handle)
        except OSError:
            os.ftruncate(self.handle, self.size)
            raise
        self.size += len(body)
        for table in tables:
            self.own[table.slice] = table
            self._take(table)
        if self.size > self.compact_at and self.size > 2 * self.compacted_size:
            self.compact()

    def compact(self):
        """Write the own log anew with each slice's newest table only. Raises OSError, the old log stands."""
        beside = self.path + ".new"
        self.disk.remove(beside)
        body = b"".join(self._record(table) for _, table in sorted(self.own.items()))
        self.disk.write_new(beside, body)
        self.disk.rename(beside, self.path)
        self.disk.flush_folder(self.folder)
        os.close(self.handle)
        self.handle = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self.size = self.compacted_size = len(body)

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
                raise BadDocument("checksum")
            table, _ = table_of(orjson.loads(body), name)
        except (ValueError, BadDocument) as problem:
            self.damaged.append(f"{name} at byte {place}: {problem}")
            return
        if name == f"{self.manager}.log":
            held = self.own.get(table.slice)
            if held is None or table.version >= held.version:
                self.own[table.slice] = table
        self._take(table)

    def close(self):
        os.close(self.handle)
