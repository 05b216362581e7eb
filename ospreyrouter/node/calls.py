"""Orders on their way to the relay: collected by key, then sent in calls, one at a time and in order. No I/O.

    calls = Calls(name_index, counts, tables)     # `tables`: the tables as the manager has them, by slice
    calls.set_weight(...), calls.send_mark(...)   # the methods of interface.Orders that concern the relay
    data = calls.next_call()                      # the bytes of the next call, or None

Then one of these settles the call in flight:

    calls.call_accepted(count)                    # the relay has carried out its first `count` orders
    calls.requeue_call()                          # the relay has not carried it out
    calls.call_in_doubt()                         # it may have been carried out or not

and, before or after `call_in_doubt`:

    calls.mark_acknowledged(number)               # if the mark is the call's, the call was carried out

A later order with the same key replaces an earlier one that still waits.

The orders of a call in doubt go first in the next call. Orders set absolute values, so sending them again has the
intended effect whether or not the call was carried out, and no later order overtakes them. They are not sent again if
the call's mark is acknowledged in time: the mark is the last order of a call, so a proxy that acknowledges it has been
sent everything in the call.

If a slice changes owner while orders for it are in flight, those orders belong to the earlier ownership and are not
sent again. They may still have been carried out under the new one, without showing in the lines loaded with it. So each
line that they concern is ordered once more, with its present weight in the manager's table.
"""

from collections import Counter

from ..interface import ALL_TABLES
from . import relay_lines

MARK_KEY = ("mark",)


def mark_number(text):
    """The number in the text of a mark order."""
    return int(text.split(",")[1])


def _table_of(key):
    """The table that the order with this key concerns, or None."""
    return key[1] if key[0] in ("line", "wipe", "level") else None


class Calls:
    """The queue of orders for the relay.

    The key of an order names what the order sets, for example ("line", table, worker) or ("out", worker); its text is
    the order in the relay's syntax.
    """

    def __init__(self, name_index, counts, tables):
        self.name_index, self.counts, self.tables = name_index, counts, tables
        self.waiting = {}  # text by key, in the order of queueing
        self.in_flight = []  # (key, text) of the orders of the call in flight, in order
        # Time at which the channel will have sent all calls written so far; the same without the call in flight.
        self.channel_free_us = self.channel_free_before_us = 0
        self.accepted_mark = None  # number of the last mark in a call that the relay has accepted
        self.max_orders = None  # limit of orders in a call, set while searching for an order that makes calls invalid
        # Of the call in doubt: keys that were not set again since then, and the number of its mark.
        self.in_doubt_keys, self.in_doubt_mark = set(), None
        self.last_acknowledged_mark = None
        self.refused_withdrawals = []  # workers whose withdrawal the relay has refused
        self.merged_marks = []  # pairs of marks: the message of the first is sent with that of the second, in one call
        self.reassigned_tables = set()  # slices that have changed owner since the call in flight was written

    # Orders.

    def _enqueue(self, key, text):
        """Queue an order in place of a waiting one with the same key."""
        # An order that is repeated moves to the end, so that a mark stays behind everything ordered before it.
        before = self.waiting.pop(key, None)
        if key == MARK_KEY and before is not None:
            self.merged_marks.append((mark_number(before), mark_number(text)))
        self.in_doubt_keys.discard(key)
        self.waiting[key] = text

    def set_weight(self, table, worker, weight):
        """Set the weight of a worker in a table; 0 removes its line."""
        self._enqueue(
            ("line", table, worker), relay_lines.share_order(table, self.name_index.worker_name(worker), weight)
        )

    def clear_table(self, table):
        """Remove all lines of a table; orders for it that still wait are discarded."""
        self.discard_table(table)
        self._enqueue(("wipe", table), relay_lines.clear_order(table))

    def set_withheld(self, worker, withheld):
        """Withdraw a worker from all tables of all proxies, or let it in again."""
        self._enqueue(("out", worker), relay_lines.withdraw_order(self.name_index.worker_name(worker), withheld))

    def set_level(self, table, classes, amount, retry):
        """Set the admission level and the retry policy of classes (a bit mask, 0 for all) in a table or ALL_TABLES."""
        names = [
            transaction_class.name
            for index, transaction_class in enumerate(self.name_index.deployment.classes)
            if classes >> index & 1
        ]
        text = relay_lines.admit_order(None if table == ALL_TABLES else table, names, amount, int(retry))
        self._enqueue(("level", table, classes), text)

    def send_mark(self, number, all_proxies):
        """Add a mark, to all proxies or to those that earlier orders of the call concern."""
        self._enqueue(MARK_KEY, relay_lines.mark_order(number, all_proxies))

    # Calls.

    def discard_table(self, table):
        """Discard the waiting orders for a table, which is cleared or whose slice has changed owner."""
        for key in [key for key in self.waiting if _table_of(key) == table]:
            del self.waiting[key]
        if any(_table_of(key) == table for key, _ in self.in_flight):
            self.reassigned_tables.add(table)

    def is_pending(self, table, worker):
        """Whether an order for that line of the table waits, so that the relay may not have its weight yet."""
        return ("line", table, worker) in self.waiting or ("wipe", table) in self.waiting

    def next_call(self):
        """The bytes of the next call, which is then in flight; None if one is in flight already or no order waits."""
        if self.in_flight or not self.waiting:
            return None
        size = 0
        for key, text in self.waiting.items():
            size += len(text) + 1
            if self.in_flight and (size > relay_lines.MAX_CALL_BYTES or len(self.in_flight) == self.max_orders):
                break
            self.in_flight.append((key, text))
        for key, _ in self.in_flight:
            del self.waiting[key]
        self.in_doubt_keys, self.in_doubt_mark = set(), None
        self.counts["calls"] += 1
        self.counts["orders"] += len(self.in_flight)
        return relay_lines.encode_call([text for _, text in self.in_flight])

    def log_fields(self):
        """Log fields of the call in flight if it withdraws or restores workers, otherwise an empty mapping."""
        order_counts = Counter(text.partition(",")[0] for _, text in self.in_flight)
        if not order_counts["withdraw"] and not order_counts["restore"]:
            return {}
        return {**order_counts, "mark": self.mark_in_flight}

    @property
    def mark_in_flight(self):
        """Number of the mark in the call in flight, or None."""
        return next((mark_number(text) for key, text in self.in_flight if key == MARK_KEY), None)

    def call_accepted(self, count):
        """The relay has carried out the first `count` orders of the call in flight.

        It has refused the next order, which is dropped; the rest waits to be sent again. Returns the keys of the
        orders carried out and the texts of the dropped ones, or None if the call has fewer than `count` orders.
        """
        if count > len(self.in_flight):
            return None
        done, refused, rest = self.in_flight[:count], self.in_flight[count : count + 1], self.in_flight[count + 1 :]
        self.in_flight, self.max_orders = [], None
        self._requeue(rest, done)
        self.accepted_mark = next((mark_number(text) for key, text in done if key == MARK_KEY), self.accepted_mark)
        self.counts["orders refused"] += len(refused)
        self.refused_withdrawals += [key[1] for key, text in refused if key[0] == "out" and text.startswith("withdraw")]
        return [key for key, _ in done], [text for _, text in refused]

    def requeue_call(self):
        """Send all orders of the call in flight again, ahead of those that wait; returns these orders."""
        orders, self.in_flight = self.in_flight, []
        self._requeue(orders)
        return orders

    def call_in_doubt(self):
        """It is unknown whether the call in flight was carried out: send it again unless its mark is acknowledged.

        Returns whether it is in doubt at all: it is not if its mark has been acknowledged already.
        """
        mark = self.mark_in_flight
        if mark is not None and mark == self.last_acknowledged_mark:
            self.call_accepted(len(self.in_flight))
            return False
        # An order repeated while the call was in flight, even with the same value, is meant for proxies that have
        # joined since, so it is sent in any case.
        repeated_keys = set(self.waiting)
        self.in_doubt_keys, self.in_doubt_mark = {key for key, _ in self.requeue_call()} - repeated_keys, mark
        return True

    def mark_acknowledged(self, number):
        """A proxy has acknowledged a mark. If it is that of the call in doubt, its orders are not sent again."""
        self.last_acknowledged_mark = number
        if number != self.in_doubt_mark:
            return
        for key in self.in_doubt_keys:
            self.waiting.pop(key, None)
        self.in_doubt_keys, self.in_doubt_mark, self.accepted_mark = set(), None, number

    def hold_time_us(self, now, proxies):
        """How long to wait before a call in doubt is sent again, with `proxies` joined proxies.

        If the call was carried out, its lines and those ahead of them have left the channel by then. The time for those
        ahead is limited, so that a withdrawal that waits behind the call can still meet its drain grace.
        """
        setup = self.name_index.deployment
        max_ahead_us = (setup.drain_grace_us - setup.max_transit_us) // 2
        return min(max(0, self.channel_free_us - now), self.channel_time_us(proxies) + max_ahead_us)

    def channel_time_us(self, proxies):
        """How long the channel takes to send the call in flight to `proxies` proxies.

        The channel never holds more lines than its capacity, which limits the time.
        """
        setup = self.name_index.deployment
        lines = min(setup.queue_lines, (setup.message_head + len(self.in_flight)) * proxies)
        return int(lines / setup.lines_per_s * 1_000_000)

    def call_not_executed(self):
        """The call in flight was not carried out, so none of its lines has reached the channel."""
        self.channel_free_us = self.channel_free_before_us

    def call_written(self, now, proxies):
        """The call in flight has been written; its lines queue behind those that still wait in the channel."""
        self.channel_free_before_us = self.channel_free_us
        max_queue_us = int(self.name_index.deployment.queue_lines / self.name_index.deployment.lines_per_s * 1_000_000)
        free_us = max(self.channel_free_us, now) + self.channel_time_us(proxies)
        self.channel_free_us = min(free_us, now + max_queue_us)

    def _requeue(self, orders, done=()):
        """Put orders ahead of the waiting ones; where both have the same key, the waiting one wins."""
        later, reassigned, self.reassigned_tables = self.waiting, self.reassigned_tables, set()
        if MARK_KEY in later:
            self.merged_marks += [
                (mark_number(text), mark_number(later[MARK_KEY])) for key, text in orders if key == MARK_KEY
            ]
        self.waiting = {
            key: text for key, text in orders if key not in later and _table_of(key) not in reassigned
        } | later
        for key, _ in [*done, *orders]:
            if key[0] == "line" and key[1] in reassigned and key not in self.waiting:
                self.set_weight(key[1], key[2], self.tables[key[1]].get(key[2], 0.0))
