"""Observes the files of the proxies and of the store during a day, as any other reader of these files could."""

import os

import orjson

from ..files import TableReader

POLL_INTERVAL_US = 20_000


class FileMonitor:
    """Polls the table files of all proxies and the custody files, and writes changes into a journal.

    `folders` has the folder of each proxy by name, `store` is the folder of the store. Rows written: `bare` (the slices
    of a proxy without a usable line, when they change), `custody` (each new epoch) and, by `stop`, `files` (totals).
    """

    def __init__(self, loop, folders, store, journal):
        self.loop, self.journal, self.custody_folder = loop, journal, os.path.join(store, "custody")
        self.readers = {name: TableReader(folder) for name, folder in folders.items()}
        self.epoch, self.empty_slices, self.stopped = 0, dict.fromkeys(folders), False
        self.check_files()

    def check_files(self):
        """Read what has changed; repeats itself every POLL_INTERVAL_US until `stop`."""
        if self.stopped:
            return
        self.loop.after(POLL_INTERVAL_US, self.check_files)
        for name, reader in self.readers.items():
            if reader.poll():
                empty = sorted(
                    slice_index
                    for slice_index, (table, withheld, _) in reader.tables.items()
                    if all(line.worker in withheld for line in table.lines)
                )
                if empty != self.empty_slices[name]:
                    self.empty_slices[name] = empty
                    self.journal.write("bare", proxy=name, slices=empty, of=len(reader.tables))
        try:
            names = [name for name in os.listdir(self.custody_folder) if name.endswith(".json") and name[:-5].isdigit()]
            newest = max(names, default=None)
            if newest is not None and int(newest[:-5]) > self.epoch:
                with open(os.path.join(self.custody_folder, newest), "rb") as file:
                    data = orjson.loads(file.read())
                self.epoch = data["epoch"]
                self.journal.write("custody", epoch=data["epoch"], owners=data["owners"])
        except (OSError, orjson.JSONDecodeError):
            pass  # the folder does not exist yet, or the file was removed or is incomplete: the next poll reads it

    def stop(self):
        """End the polling and write the totals of swaps, torn reads and reads."""
        self.stopped = True
        swaps = sum(
            int(os.path.basename(reader.current_target)) for reader in self.readers.values() if reader.current_target
        )
        torn = sum(reader.counts["bad sets"] for reader in self.readers.values())
        self.journal.write(
            "files",
            swaps=swaps,
            torn=torn,
            read=sum(table_reader.counts["reloads"] for table_reader in self.readers.values()),
        )
