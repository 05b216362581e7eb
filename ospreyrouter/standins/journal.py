"""The journal of a process: rows with the time `t` in us, the event `what` and its fields.

Rows are kept in memory, or written to a file as JSON lines.
"""

import orjson


class Journal:
    """Writes rows to the file `path`, or appends them to `rows` if that is None.

    With `unbuffered` a row is in the file at once, for processes that may be killed.
    """

    def __init__(self, loop, path=None, unbuffered=False):
        self.loop, self.rows = loop, []
        self.file = open(path, "ab", 0 if unbuffered else 1 << 16) if path else None

    def write(self, event, **fields):
        """Write a row with the present time."""
        fields["t"], fields["what"] = self.loop.now(), event
        if self.file is None:
            self.rows.append(fields)
        else:
            self.file.write(orjson.dumps(fields) + b"\n")

    def flush(self):
        """Write buffered rows to the file."""
        if self.file is not None:
            self.file.flush()


def read_journal(path):
    """Rows of a journal file as dictionaries; an incomplete last line, left by a killed process, is skipped."""
    rows = []
    with open(path, "rb") as file:
        for line in file:
            try:
                rows.append(orjson.loads(line))
            except orjson.JSONDecodeError:
                continue
    return rows
