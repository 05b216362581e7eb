"""What passed on the sockets of one process: rows of (time in us, what, fields), kept or written as JSON lines."""

import orjson


class Journal:
    def __init__(self, loop, path=None):
        self.loop, self.rows, self.file = loop, [], open(path, "ab", 1 << 16) if path else None

    def write(self, what, **fields):
        fields["t"], fields["what"] = self.loop.now(), what
        if self.file is None:
            self.rows.append(fields)
        else:
            self.file.write(orjson.dumps(fields) + b"\n")

    def flush(self):
        if self.file is not None:
            self.file.flush()


def read_journal(path):
    """Rows of a journal file; a torn last line of a killed process is left out."""
    rows = []
    with open(path, "rb") as file:
        for line in file:
            try:
                rows.append(orjson.loads(line))
            except orjson.JSONDecodeError:
                continue
    return rows
