"""Follows the table files beside a proxy: `FileFollower(loop, folder)`."""

from ..files.reader import TableReader
from .picking import Picker

LOOK_US = 20_000


class FileFollower(Picker):
    """Reads a set whenever the link points elsewhere; a bad one is counted and the last good one stays in force."""

    def __init__(self, loop, folder, seed=None):
        super().__init__(seed)
        self.loop, self.reader, self.closed, self.seen = loop, TableReader(folder), False, {}
        self._look()

    def _look(self):
        if self.closed:
            return
        self.loop.after(LOOK_US, self._look)
        if self.reader.poll():
            for item, (table, withheld, _) in sorted(self.reader.tables.items()):
                key = (table.digest, withheld)
                if self.seen.get(item) != key:
                    self.seen[item] = key
                    self.from_shares(item, {(line.host, line.port): line.weight for line in table.lines
                                            if line.worker not in withheld})

    def close(self):
        self.closed = True
