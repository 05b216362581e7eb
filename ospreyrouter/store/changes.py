"""Storage of callers' changes: one log for each manager, which only that manager writes and reads.

    log = ChangeLog(folder, "manager-0", calls)
    log.open(on_open)                 # on_open(rows, damaged, error) with the stored rows, once no other writer is left
    log.append(rows, on_done)         # one write and one flush; on_done(error or None)
    log.rewrite(rows, on_done)        # replaces the log by the rows that are still needed

A row is any JSON value, stored on one line with its checksum. The helper of a killed process may still be finishing its
last write, so the log is read only after it could be opened for writing.
"""

import os
import zlib

import orjson

REWRITE_THRESHOLD_BYTES = 4 << 20  # log size from which the log may be rewritten
FORMAT = 1


def encode_row(row):
    """Returns the line, in bytes, that stores a row: checksum, space, JSON of format and row."""
    body = orjson.dumps([FORMAT, row])
    return b"%08x %s\n" % (zlib.crc32(body), body)


class ChangeLog:
    """The change log of one manager. `calls` runs the blocking calls off the event loop, in order."""

    def __init__(self, folder, manager, calls, rewrite_threshold=REWRITE_THRESHOLD_BYTES):
        self.path, self.calls, self.rewrite_threshold = (
            os.path.join(folder, "changes", f"{manager}.log"),
            calls,
            rewrite_threshold,
        )
        self.size = self.rewritten_size = 0

    def open(self, on_open):
        """Opens the log for writing, then calls `on_open(rows, damaged, error)`.

        `rows` are the stored rows in order, `damaged` texts about lines that could not be read, and `error` is the
        OSError that kept the log from being opened or read, or None.
        """

        def opened(truncated_bytes, error):
            if error is not None:
                on_open([], [], error)
                return
            try:
                rows, damaged = self._read()
            except OSError as read_error:
                on_open([], [], read_error)
                return
            if truncated_bytes:
                damaged.append(f"{truncated_bytes} bytes of an incomplete last line were removed")
            on_open(rows, damaged, None)

        self.calls.submit("open_log", (self.path,), opened)

    def _read(self):
        """Returns (rows, damage reports). Raises OSError."""
        rows, damaged, offset = [], [], 0
        with open(self.path, "rb") as file:
            body = file.read()
        self.size = len(body)
        for line in body.splitlines(keepends=True):
            checksum, _, text = line.rstrip(b"\n").partition(b" ")
            try:
                if int(checksum, 16) != zlib.crc32(text):
                    raise ValueError("its checksum is wrong")
                row_format, row = orjson.loads(text)
                if row_format > FORMAT:
                    raise ValueError(f"has format {row_format}, this program reads up to {FORMAT}")
                rows.append(row)
            except (ValueError, TypeError) as error:
                damaged.append(f"{os.path.basename(self.path)} at byte {offset}: {error}")
            offset += len(line)
        return rows, damaged

    def append(self, rows, on_done):
        """Appends rows in one write and one flush, then calls `on_done(error or None)`."""

        def done(size, error):
            self.size = size if error is None else self.size
            on_done(error)

        self.calls.submit("append_log", (self.path, b"".join(map(encode_row, rows))), done)

    def needs_rewrite(self):
        """Whether the log has passed the threshold and has more than doubled since it was last rewritten."""
        return self.size > self.rewrite_threshold and self.size > 2 * self.rewritten_size

    def rewrite(self, rows, on_done):
        """Replaces the log by `rows`, then calls `on_done(error or None)`. The old log stays if this fails."""

        def done(size, error):
            if error is None:
                self.size = self.rewritten_size = size
            on_done(error)

        self.calls.submit("rewrite_log", (self.path, b"".join(map(encode_row, rows))), done)
