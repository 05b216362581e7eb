"""Compares the log of the version history with SQLite and LMDB: the same records in the same writes, one flush each.

    python -m benchmarks.stores [--versions 20000] [--short]      # needs the extra "measure" for lmdb

Prints the times to write and to read, and the space on disk. The last line of the output is one JSON object.
"""

import argparse
import json
import os
import sqlite3
import sys
import tempfile
import time
from random import Random

import lmdb

from ospreyrouter.files.disk import Disk
from ospreyrouter.store.log_writer import LogWriter
from ospreyrouter.store.tables import decode_record, encode_record
from ospreyrouter.versions import next_version

from .versions import SLICES, next_lines

VERSIONS_PER_WRITE = 20


class OwnLog:
    """The log of ospreyrouter. `records` are (digest, encoded record with a line feed), here and below."""

    def __init__(self, folder, flush):
        self.path = os.path.join(folder, "own.log")
        self.log = LogWriter(self.path, Disk(flush=flush))

    def write(self, records):
        """Writes one batch of records."""
        self.log.append(b"".join(body for _, body in records))

    def read(self):
        """Returns all records, decoded."""
        with open(self.path, "rb") as file:
            return [decode_record(line, "own") for line in file.read().splitlines()]


class Sqlite:
    """A table of an SQLite database in WAL mode."""

    def __init__(self, folder, flush):
        self.path = os.path.join(folder, "own.sqlite")
        self.database = sqlite3.connect(self.path, isolation_level=None)
        self.database.execute("pragma journal_mode=wal")
        self.database.execute(f"pragma synchronous={'full' if flush else 'off'}")
        self.database.execute("create table versions (digest text primary key, body blob)")

    def write(self, records):
        """Writes one batch of records."""
        self.database.execute("begin")
        self.database.executemany("insert into versions values (?, ?)", records)
        self.database.execute("commit")

    def read(self):
        """Returns all records, decoded."""
        return [decode_record(body[:-1], "sqlite") for (body,) in self.database.execute("select body from versions")]


class Lmdb:
    """An LMDB environment in one file."""

    def __init__(self, folder, flush):
        self.path = os.path.join(folder, "own.mdb")
        self.environment = lmdb.open(self.path, map_size=1 << 30, subdir=False, sync=flush)

    def write(self, records):
        """Writes one batch of records."""
        with self.environment.begin(write=True) as transaction:
            for digest, body in records:
                transaction.put(digest.encode(), body)

    def read(self):
        """Returns all records, decoded."""
        with self.environment.begin() as transaction:
            return [decode_record(bytes(body)[:-1], "lmdb") for _, body in transaction.cursor()]


def measure(batches, flush):
    """Writes and reads `batches` with each store; returns {store: figures}."""
    result = {}
    for store_class in (OwnLog, Sqlite, Lmdb):
        with tempfile.TemporaryDirectory() as folder:
            store = store_class(folder, flush)
            started_at = time.perf_counter()
            for records in batches:
                store.write(records)
            write_s, started_at = time.perf_counter() - started_at, time.perf_counter()
            version_count = len(store.read())
            result[store_class.__name__.lower()] = {
                "write_s": round(write_s, 3),
                "read_s": round(time.perf_counter() - started_at, 3),
                "versions": version_count,
                "mb": round(
                    sum(os.stat(os.path.join(folder, name)).st_blocks for name in os.listdir(folder)) * 512 / 1e6, 1
                ),
            }
    return result


def main():
    """Prints the figures; the exit code is 1 if a store returned no versions."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--versions", type=int, default=20_000)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    rng, newest, batches = Random(1), {}, []
    for number in range(2_000 if options.short else options.versions):
        slice_index = rng.randrange(SLICES)
        table = newest[slice_index] = next_version(
            newest.get(slice_index), slice_index, "manager-0", 1, next_lines(newest.get(slice_index), rng)
        )
        if number % VERSIONS_PER_WRITE == 0:
            batches.append([])
        batches[-1].append((table.digest, encode_record(table)))
    result = {"unflushed": measure(batches, False), "flushed": measure(batches[:100], True)}
    print(json.dumps(result))
    return (
        0 if all(store_figures["versions"] for figures in result.values() for store_figures in figures.values()) else 1
    )


if __name__ == "__main__":
    sys.exit(main())
