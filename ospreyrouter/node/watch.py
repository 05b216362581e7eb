"""Watches the worker list of discovery: passes its lines on as events and keeps the addresses for probes.

    watch = Watch(loop, address, name_index, counts, on_events, rng, log)
    watch.begin(known)         # apply the last known list, then watch for changes since then
    watch.move(address)
    watch.incarnation(worker)  # (address, start time) that the worker has now

While discovery is unavailable the last list remains in force. A watch on which nothing arrives is closed and dialled
again from the last version (`seq`); the first line after that brings what has changed since. During a move both watches
are read until the new one has delivered a readable line.

A line with a lower `seq` than the last one comes from a lagging agent or from a list that has started over. Older
changes are dropped, as they are known already or will arrive again. An older whole list is applied, as it may be the
only one there is. But an entry in it is ignored at first if it has an earlier start of the worker than is known, or
the same start with a better state. It is applied after MAX_LAG_US unless a newer line names the worker before: a
lagging agent has caught up by then, and every change of the list counts as delivered.
"""

import time
from collections import Counter
from dataclasses import replace

from ..interface import WorkerState
from ..loop import LOCAL_ERRORS
from ..naming import Malformed
from ..web.client import Client
from . import listing
from .frames import UnreadableMessage
from .relay_lines import LineReader

DIAL_TIMEOUT_US = 500_000
ANSWER_TIMEOUT_US = 500_000  # the agent answers at once, or not at all while discovery is down
MAX_SILENCE_US = 4_500_000  # the agent sends an empty line every 2 s
MAX_LAG_US = 6_000_000  # within this time a change of the list counts as delivered
# The agent runs on this machine and the changes that it has count as delivered, so the back-off is short.
MIN_BACKOFF_US, MAX_BACKOFF_US = 50_000, 200_000


def unix_ms():
    """Wall-clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


class Watch:
    """The watch on the list, and the state of each worker according to it.

    `on_events(events)` gets the event "worker_list_received" for each line with entries. `clock_ms()` gives wall-clock
    time in Unix milliseconds. `seq` is the version of the list, `addresses` maps workers that are not gone to
    (host, port), `known` maps workers to their entry and their start in Unix milliseconds (0: long ago).
    """

    def __init__(self, loop, address, name_index, counts, on_events, rng, log, clock_ms=unix_ms):
        self.loop, self.address, self.name_index, self.counts, self.log = loop, address, name_index, counts, log
        self.on_events, self.rng, self.clock_ms = on_events, rng, clock_ms
        self.seq, self.addresses, self.started = 0, {}, {}  # `started`: start in Unix ms and on the loop's clock
        # By worker; `stale_entries` holds the version and the fields of an entry from an older list, not applied yet.
        self.known, self.stale_entries = {}, {}
        self.named_in_seq = {}  # by worker: the newest version of the list that named it
        self.last_line_us = None  # when the last readable line arrived: workers that started long before are known
        self.client, self.next_client, self.backoff_us, self.closed, self.dials = None, None, MIN_BACKOFF_US, False, 0

    def begin(self, known):
        """Apply the last known list, a result of `listing.parse_list` or None, and start watching."""
        if known is not None:
            self._handle_list(known)
        self.client = self._dial()

    def _dial(self):
        self.dials += 1
        reader = LineReader(b"\n", listing.MAX_LINE)
        client = Client(self.loop, self.address, DIAL_TIMEOUT_US, lambda reason: self._closed(client, reason), 64 << 10)

        def on_part(data):
            try:
                for line in reader.feed(data):
                    update = listing.parse_line(line)
                    if update is not None:
                        self._handle_list(update)
                    self._line_received(client)
            except UnreadableMessage:
                self.counts["list unreadable"] += 1
                client.abort("unreadable")

        client.send_request(
            "GET",
            f"/v1/endpoints?follow=1&since={self.seq}",
            [],
            b"",
            lambda response: response.status and client.abort(f"answered {response.status}"),
            ANSWER_TIMEOUT_US,
            on_part,
            MAX_SILENCE_US,
        )
        return client

    def _line_received(self, client):
        self.backoff_us, self.last_line_us = MIN_BACKOFF_US, self.loop.now()
        if client is self.next_client:  # the new address works, so the old connection is closed
            old, self.client, self.next_client = self.client, client, None
            old.abort("moved")

    def _closed(self, client, reason):
        if self.closed or client not in (self.client, self.next_client):
            return
        self.counts[f"watch broken: {reason}"] += 1
        wait = MIN_BACKOFF_US
        if client.stream is not None or reason not in LOCAL_ERRORS:  # otherwise the dial failed on this machine
            wait, self.backoff_us = self.backoff_us, min(MAX_BACKOFF_US, self.backoff_us * 2)
        self.log("watch ended", reason=reason, address=client.address, retry_ms=wait // 1000)
        self.loop.after(int(wait * self.rng.uniform(0.8, 1.2)), lambda: self._redial(client))

    def _redial(self, client):
        if self.closed:
            return
        if client is self.next_client:
            self.next_client = self._dial()
        elif client is self.client and self.next_client is None:
            self.client = self._dial()

    # The list.

    def _handle_list(self, update):
        seq, whole, rows = update
        older, self.seq = seq < self.seq, seq if whole else max(seq, self.seq)
        if older:
            self.counts["list older than known"] += 1
            if not whole:
                self.log("list dropped", seq=seq, known_seq=self.seq)
                return
        entries, stale = [], []
        for row in rows:
            try:
                entries.append(self._apply_row(listing.parse_entry(row), seq, stale))
            except Malformed as error:
                self.counts[f"entry spoilt: {error.cause}"] += 1
        if whole:
            for worker in self.known.keys() - {entry.worker for entry in entries}:
                entry, born_ms = self.known[worker]
                self._set_known(replace(entry, state=WorkerState.GONE), born_ms, None)
                self.named_in_seq[worker] = max(seq, self.named_in_seq.get(worker, 0))
        self._log_list(seq, whole, older, entries)
        self.on_events([("worker_list_received", whole, entries)])
        if stale:
            self.loop.after(MAX_LAG_US, lambda: self._apply_stale(stale))

    def _log_list(self, seq, whole, older, entries):
        if entries or whole:
            states = Counter(entry.state.name.lower() for entry in entries)
            self.log("list", seq=seq, **{"whole": True} if whole else {}, **{"older": True} if older else {}, **states)

    def _apply_row(self, fields, seq, stale):
        """Apply one parsed row and return its entry, or the known entry if the row is stale.

        A stale row is added to the list `stale`.
        """
        name, _, zone, _, _, state, _, born_ms = fields
        self.name_index.zone_index(zone)  # raises Malformed, before the name is assigned an index
        worker = self.name_index.worker_index(name)
        if seq < self.named_in_seq.get(worker, 0) and worker in self.known:
            known, known_born_ms = self.known[worker]
            if (born_ms, state) < (known_born_ms, known.state):
                if worker not in self.stale_entries or seq > self.stale_entries[worker][0]:
                    self.stale_entries[worker] = seq, fields
                stale.append((worker, self.stale_entries[worker]))
                return known
        self.named_in_seq[worker] = max(seq, self.named_in_seq.get(worker, 0))
        return self._apply_fields(*fields)

    def _apply_fields(self, name, dial, zone, kind, cell, state, weight, born_ms):
        started_us = self._start_time(self.name_index.worker_index(name), born_ms)
        entry = self.name_index.entry(name, zone, kind, cell, state, weight, started_us)
        self._set_known(entry, born_ms, dial)
        return entry

    def _set_known(self, entry, born_ms, dial):
        self.known[entry.worker] = entry, born_ms
        self.stale_entries.pop(entry.worker, None)
        if entry.state is WorkerState.GONE:
            self.addresses.pop(entry.worker, None)
        else:
            self.addresses[entry.worker] = dial

    def _apply_stale(self, stale):
        """Apply stale rows whose workers no newer line has named since: the list did start over."""
        entries = []
        for worker, version_and_fields in stale:
            if self.stale_entries.get(worker) is version_and_fields:
                self.named_in_seq[worker], fields = version_and_fields
                entries.append(self._apply_fields(*fields))
        if entries:
            self.on_events([("worker_list_received", False, entries)])

    def incarnation(self, worker):
        """A pair (address, start) that changes with each start; an answer from an earlier one says nothing of this."""
        return self.addresses.get(worker), self.known[worker][1] if worker in self.known else None

    def _start_time(self, worker, born_ms):
        """The start of a worker on the loop's monotonic clock, in microseconds; None if the list gives none.

        It is computed once for each start, as the two clocks drift apart and the result must not change. The wall clock
        may have been stepped, so the result is never in the future; and as the list was read until `last_line_us` and
        delivers a change within MAX_LAG_US, it is no earlier than MAX_LAG_US before that.
        """
        if not born_ms:
            return None
        known = self.started.get(worker)
        if known is None or known[0] != born_ms:
            now = self.loop.now()
            started = min(now, now - (self.clock_ms() - born_ms) * 1000)
            known = born_ms, started if self.last_line_us is None else max(started, self.last_line_us - MAX_LAG_US)
            self.started[worker] = known
        return known[1]

    def forget(self, worker):
        """Remove all state of a worker."""
        for table in (self.started, self.addresses, self.known, self.named_in_seq, self.stale_entries):
            table.pop(worker, None)

    def move(self, address):
        """Watch at another address; the present watch is closed when the new one has delivered a line."""
        if address == self.address:
            return
        self.address = address
        if self.next_client is not None:
            dropped, self.next_client = self.next_client, None
            dropped.abort("moved")
        self.next_client = self._dial()

    def close(self):
        """Stop watching."""
        self.closed = True
        for client in (self.client, self.next_client):
            if client is not None:
                client.abort("closed here")
