"""Translates the relay's news into events for the manager. No I/O.

    news = News(name_index, calls, tables, counts)  # `tables`: the tables as the manager has them, by slice
    news.begin_snapshot()                           # a stream of news begins; it starts with a snapshot
    events = news.handle_line(b"* CLOSED 17")       # raises UnreadableMessage
    events = news.end_snapshot()                    # proxies that were not in the snapshot have left

While a stream of news is broken, a proxy may leave and return, or a slice may change owner, without a line that
reports it. So each snapshot is compared with what was known before. If the rows of a slice differ from the ordered ones
by more than the orders that still wait, the slice had another owner in between and is reported as newly assigned.
"""

from ..naming import Malformed
from . import relay_lines


class News:
    """The proxies and slices that this manager has according to the relay.

    `joined`: indices of the joined proxies. `granted`: indices of the slices that this manager owns. `in_snapshot`:
    whether a snapshot is being read. `rows_follow`: whether the last line was one that rows of a table usually follow.

    Lines are dispatched to the method named after their first word, such as `_subscribe` for SUBSCRIBE.
    """

    def __init__(self, name_index, calls, tables, counts):
        self.name_index, self.calls, self.tables, self.counts = name_index, calls, tables, counts
        self.joined, self.granted = set(), set()
        # Of the snapshot: ("proxy", index) and ("slice", index) in it, and the weights by slice and worker.
        self.in_snapshot, self.snapshot_keys, self.snapshot_rows, self.rows_follow = False, set(), {}, False

    def begin_snapshot(self):
        """A new stream of news begins, with a snapshot."""
        self.in_snapshot, self.snapshot_keys, self.snapshot_rows = True, set(), {}

    def handle_line(self, line):
        """The events for the manager that one line brings, as a list.

        Raises UnreadableMessage for a line that cannot be parsed. A line with an unknown zone or an index out of range
        is counted and skipped.
        """
        values = relay_lines.parse_news(line)
        self.rows_follow = values[:1] in (("GRANT",), ("ROW",))
        try:
            return getattr(self, f"_{values[0].lower()}")(*values[1:]) if values else []
        except Malformed as error:
            self.counts[f"news spoilt: {error.cause}"] += 1
            return []

    def _subscribe(self, proxy, zone, rate, fresh):
        if proxy >= self.name_index.deployment.proxy_count:
            raise Malformed("proxy")
        index = self.name_index.zone_index(zone)
        self.joined.add(proxy)
        self.snapshot_keys.add(("proxy", proxy))
        return [("proxy_joined", proxy, index, rate, fresh)]

    def _closed(self, proxy):
        self.snapshot_keys.discard(("proxy", proxy))
        if proxy not in self.joined:
            return []
        self.joined.discard(proxy)
        return [("proxy_left", proxy)]

    def _ack(self, proxy, number, lag_ms):
        self.calls.mark_acknowledged(number)
        return [("mark_acknowledged", proxy, number, round(lag_ms * 1000.0))] if proxy in self.joined else []

    def _grant(self, table, is_granted):
        if table >= self.name_index.deployment.slice_count:
            raise Malformed("slice")
        self.snapshot_rows.pop(table, None)
        self.snapshot_keys.discard(("slice", table))
        if not is_granted:
            return self._revoked(table)
        self.snapshot_keys.add(("slice", table))
        if self.in_snapshot and table in self.granted:
            self.snapshot_rows[table] = {}  # compared at the end of the snapshot, when all rows have arrived
            return []
        self.granted.add(table)
        self.calls.discard_table(table)
        return [("slice_ownership_changed", table, True)]

    def _revoked(self, table):
        if table not in self.granted:
            return []
        self.granted.discard(table)
        self.calls.discard_table(table)
        return [("slice_ownership_changed", table, False)]

    def _row(self, table, name, weight):
        worker = self.name_index.worker_index(name)
        if table in self.snapshot_rows:
            self.snapshot_rows[table][worker] = weight
            return []
        return [("table_line_loaded", table, worker, weight)]

    def end_snapshot(self):
        """The events that follow from comparing the complete snapshot with what was known before, as a list.

        Proxies that are not in it have left, and slices that are not granted in it belong to another manager.
        """
        events, rows = [], self.snapshot_rows
        for proxy in sorted(self.joined):
            if ("proxy", proxy) not in self.snapshot_keys:
                self.joined.discard(proxy)
                events.append(("proxy_left", proxy))
        for table in sorted(self.granted):
            if ("slice", table) not in self.snapshot_keys:
                events += self._revoked(table)
        for table in sorted(rows):
            if not self._matches_orders(table, rows[table]):
                self.counts["slices told anew"] += 1
                self.calls.discard_table(table)
                events.append(("slice_ownership_changed", table, True))
                events += [("table_line_loaded", table, worker, weight) for worker, weight in rows[table].items()]
        self.in_snapshot, self.snapshot_keys, self.snapshot_rows = False, set(), {}
        return events

    def _matches_orders(self, table, rows):
        ordered = self.tables[table]
        return all(
            abs(rows.get(worker, 0.0) - ordered.get(worker, 0.0)) < 1e-4 or self.calls.is_pending(table, worker)
            for worker in rows.keys() | ordered.keys()
        )
