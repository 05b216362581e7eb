"""The watch on discovery's list: its lines become what the manager hears; addresses are kept for the probes.

    watch = Watch(loop, address, door, counts, heard, chance)
    watch.begin(known)        # the list as last had, then the watch from there on
    watch.move(address)

While discovery is down the last list stands. A watch that says nothing is given up and dialled again from the last
version; the first line after that brings what changed since.
"""

import time

from ..door import Malformed
from ..interface import State
from ..web.client import Client
from . import listing
from .frames import Unreadable
from .relay_lines import LineReader

DIAL_US = 500_000
SILENT_US = 4_500_000  # an empty line is due every 2 s
BACKOFF_US, BACKOFF_MOST_US = 50_000, 800_000


def unix_ms():
    return time.time_ns() // 1_000_000


class Watch:
    def __init__(self, loop, address, door, counts, heard, chance, clock_ms=unix_ms):
        self.loop, self.address, self.door, self.counts = loop, address, door, counts
        self.heard, self.chance, self.clock_ms = heard, chance, clock_ms
        self.seq, self.addresses, self.started = 0, {}, {}
        self.client, self.next, self.backoff_us, self.closed, self.dials = None, None, BACKOFF_US, False, 0

    def begin(self, known):
        if known is not None:
            self._listed(known)
        self.client = self._dial()

    def _dial(self):
        self.dials += 1
        reader, state = LineReader(b"\n", listing.LINE_MOST), {}
        client = Client(self.loop, self.address, DIAL_US, lambda reason: self._ended(client, reason), 64 << 10)

        def part(data):
            if client is self.next:  # the new address answers: the old one may go
                old, self.client, self.next = self.client, client, None
                old.abort("moved")
            try:
                for line in reader.feed(data):
                    found = listing.read(line)
                    if found is not None:
                        self._listed(found)
            except Unreadable as problem:
                state["why"] = str(problem)
                self.counts["list unreadable"] += 1
                client.abort("unreadable")
                return
            self.backoff_us = BACKOFF_US

        client.ask("GET", f"/v1/endpoints?follow=1&since={self.seq}", [], b"",
                   lambda answer: answer.status and client.abort(f"answered {answer.status}"), SILENT_US, part)
        return client

    def _ended(self, client, reason):
        if self.closed or client not in (self.client, self.next):
            return
        self.counts[f"watch broken: {reason}"] += 1
        wait, self.backoff_us = self.backoff_us, min(BACKOFF_MOST_US, self.backoff_us * 2)
        self.loop.after(int(wait * self.chance.uniform(0.8, 1.2)), lambda: self._again(client))

    def _again(self, client):
        if self.closed:
            return
        if client is self.next:
            self.next = self._dial()
        elif client is self.client and self.next is None:
            self.client = self._dial()

    def _listed(self, found):
        self.seq, whole, rows = found
        entries = []
        for row in rows:
            try:
                entries.append(self._entry(*listing.entry(row)))
            except Malformed as problem:
                self.counts[f"entry spoilt: {problem.cause}"] += 1
        if whole:
            named = {entry.worker for entry in entries}
            self.addresses = {worker: dial for worker, dial in self.addresses.items() if worker in named}
        self.heard([("listed", whole, entries)])

    def _entry(self, name, dial, zone, kind, cell, state, weight, born_ms):
        self.door.zone(zone)  # before the name gets an index
        worker = self.door.worker(name)
        if state is State.GONE:
            self.addresses.pop(worker, None)
        else:
            self.addresses[worker] = dial
        return self.door.entry(name, zone, kind, cell, state, weight, self._started(worker, born_ms))

    def _started(self, worker, born_ms):
        """On the monotonic clock; worked out once a start, for the two clocks drift and a start must not."""
        if not born_ms:
            return None
        known = self.started.get(worker)
        if known is None or known[0] != born_ms:
            known = born_ms, self.loop.now() - (self.clock_ms() - born_ms) * 1000
            self.started[worker] = known
        return known[1]

    def forget(self, worker):
        self.started.pop(worker, None)
        self.addresses.pop(worker, None)

    def move(self, address):
        if address == self.address:
            return
        self.address = address
        if self.next is not None:
            dropped, self.next = self.next, None
            dropped.abort("moved")
        self.next = self._dial()

    def close(self):
        self.closed = True
        for client in (self.client, self.next):
            if client is not None:
                client.abort("closed here")
