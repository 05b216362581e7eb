"""The manager's program: collects events from its connections into rounds and carries out the manager's orders.

    service = Service(loop, parameters, name_index, log)  # listens and connects at once, then runs on the loop
    service.move(discovery, relay)                        # use other addresses, keep all state
    service.drain(on_done)                                # at the end of the program: answer callers first
    service.close()

This module makes no decision; `policy.Manager` makes all of them.
"""

import traceback
from collections import Counter
from random import Random

from ..interface import WorkerState
from ..policy import Manager
from .calls import Calls
from .collectors import Collectors
from .drain_progress import DrainProgress
from .news import News
from .probes import Probes
from .relay import Relay
from .table_coverage import TableCoverage
from .watch import Watch

ROUND_DELAY_US = 5_000  # from the first event to the round that handles it
MAX_ROUND_DELAY_US = 150_000  # a round waits no longer than this for the rest of a batch of news
MIB, BUFFERED_SHARE = 1 << 20, 0.1  # part of the memory that incomplete messages of collectors may fill
COUNTS_INTERVAL_US = 10_000_000  # between two "counts" lines of the log
FORGET_INTERVAL_US = 10_000_000  # between two removals of unused worker names
RESERVED_SOCKETS = 24  # descriptors for standard streams, the loop, the listener and the links
MAX_PROBES = 32  # at the same time
# Events that the "round" line of the log counts, and the fields that hold the counts.
MEMBERSHIP_FIELDS = {
    "proxy_joined": "joined",
    "proxy_left": "left",
    "slice_ownership_changed_True": "given",
    "slice_ownership_changed_False": "revoked",
}


class Service(Calls):
    """Hosts one manager; also the `interface.Orders` object to which the manager gives its orders.

    `parameters` is a `start.StartParameters`, `manager` the class of the manager or a stand-in for it.
    """

    def __init__(self, loop, parameters, name_index, log, manager=Manager):
        self.counts = Counter()
        self.manager = manager(name_index.deployment, parameters.seed)
        super().__init__(name_index, self.counts, self.manager.tables)
        self.loop, self.log, self.pending_events, self.round_timer, self.first_event_us = loop, log, [], None, 0
        rng = Random(parameters.seed ^ 1)  # for the links; separate from the manager's own generator
        max_unidentified = max(8, parameters.sockets - RESERVED_SOCKETS - MAX_PROBES) * 2 // 3
        self.collectors = Collectors(
            loop,
            parameters.listen,
            name_index,
            self.counts,
            self.handle_events,
            max_unidentified,
            int(parameters.memory_mb * MIB * BUFFERED_SHARE),
        )
        self.watch = Watch(loop, parameters.discovery, name_index, self.counts, self.handle_events, rng, log)
        self.probes = Probes(loop, MAX_PROBES, self.counts, name_index.workers_report_load, self.watch.incarnation)
        self.watch.begin(parameters.known)
        news = News(name_index, self, self.manager.tables, self.counts)
        self.relay = Relay(loop, parameters.relay, self, news, self.counts, self.handle_events, rng, log)
        self.drains = DrainProgress(log, name_index.deployment.drain_grace_us)
        self.coverage = TableCoverage(log, name_index.deployment.max_empty_table_us)
        self.rounds, self.longest_round_us, self.busy_us, self.max_lateness_us = 0, 0, 0, 0
        self.repeats_in_flight, self.closing = 0, False
        self.next_forget_us = loop.now() + FORGET_INTERVAL_US
        loop.after(COUNTS_INTERVAL_US, self._log_counts)

    # Rounds.

    def handle_events(self, events, flush=False):
        """Queue events for the next round; with `flush`, run that round now.

        An event is a tuple: the name of a method of the manager, then its arguments.
        """
        self.pending_events += events
        if flush:
            self._run_round()
        elif self.round_timer is None and events:
            self.first_event_us = self.loop.now()
            self.round_timer = self.loop.after(ROUND_DELAY_US, self._round_due)

    def _round_due(self):
        if self.relay.bursting and self.loop.now() - self.first_event_us < MAX_ROUND_DELAY_US:
            self.round_timer = self.loop.after(ROUND_DELAY_US, self._round_due)
        else:
            self.max_lateness_us = max(self.max_lateness_us, self.loop.now() - self.first_event_us - ROUND_DELAY_US)
            self._run_round()

    def _run_round(self):
        if self.round_timer is not None:
            self.round_timer.cancel()
            self.round_timer = None
        events, self.pending_events = self.pending_events, []
        if not events or self.closing:
            return
        events[:0] = [("messages_merged", *marks) for marks in self.merged_marks]
        events += [("withdrawal_refused", worker) for worker in self.refused_withdrawals]
        self.merged_marks.clear()
        self.refused_withdrawals.clear()
        # Until the relay has accepted a first mark, the channel is not known to work and counts as stalled.
        if self.relay.stalled or self.accepted_mark is None:
            events.insert(0, ("channel_stalled", self.accepted_mark))
        began = self.loop.now()
        self._track_drains(began, events)
        try:
            self.manager.round(began, events, self)
        except Exception as error:
            self.handle_exception(error)
        took = self.loop.now() - began
        self._log_membership(events, took)
        self._track_coverage()
        self.rounds, self.busy_us, self.longest_round_us = (
            self.rounds + 1,
            self.busy_us + took,
            max(self.longest_round_us, took),
        )
        self.relay.send_orders()
        if began >= self.next_forget_us:
            self.next_forget_us = began + FORGET_INTERVAL_US
            self._forget_gone_workers()

    def _track_coverage(self):
        """Pass the tables and the usable workers to the log of slices without a server."""
        now, manager = self.loop.now(), self.manager
        if now >= self.coverage.next_update_at:
            owned = {table: manager.tables[table] for table in self.relay.news.granted}
            self.coverage.update(now, owned, self._ready_workers(), manager.withdrawals.withdrawn)

    def _ready_workers(self):
        """The workers that the list has as ready."""
        return {worker for worker, (entry, _) in self.watch.known.items() if entry.state is WorkerState.READY}

    def _log_membership(self, events, took_us):
        """Log one line for a round with changes of proxies or slices; a round of reports alone is not logged."""
        event_counts = Counter(
            f"{name}_{values[1]}" if name == "slice_ownership_changed" else name for name, *values in events
        )
        changes = {field: event_counts[name] for name, field in MEMBERSHIP_FIELDS.items() if event_counts[name]}
        if changes:
            # Proxies whose stream broke, in contrast to restarted ones.
            back = sum(name == "proxy_joined" and not values[3] for name, *values in events)
            self.log("round", **changes, **{"back": back} if back else {}, ms=took_us // 1000)

    def _track_drains(self, now, events):
        """Pass events of the worker list and of proxies to the log of drains."""
        for name, *values in events:
            if name == "worker_list_received":
                not_ready = [entry.worker for entry in values[1] if entry.state is not WorkerState.READY]
                self.drains.list_received(
                    now, not_ready, [entry.worker for entry in values[1] if entry.state is WorkerState.READY]
                )
            elif name == "proxy_joined":
                self.drains.proxy_joined(now, values[0])
            elif name == "proxy_left":
                self.drains.proxy_left(values[0])
            elif name == "mark_acknowledged":
                self.drains.mark_acknowledged(now, values[0], values[1])

    # Orders that do not go to the relay; for those that do, see `Calls`.

    def probe(self, worker):
        """Probe a worker; the outcome arrives as the event "probe_completed"."""
        self.probes.probe(worker, lambda *result: self.handle_events([("probe_completed", worker, *result)]))

    def schedule_wake(self, after_us, token):
        """Deliver the event "alarm_fired" with this token after that time."""
        self.loop.after(after_us, lambda: self.handle_events([("alarm_fired", token)]))

    def bind_proxy(self, proxy, table, classes):
        """Not supported: here every deployment has slices."""
        self.counts["orders without a meaning here"] += 1

    def send_to_manager(self, manager, text):
        """Not supported: managers cannot exchange messages here."""
        self.counts["orders without a meaning here"] += 1

    def follow_list(self, enabled):
        pass  # changes of the list are always followed

    def fetch_list(self):
        pass  # never needed, as the list is followed all the time

    def next_call(self):
        """Like `Calls.next_call`; also tracks the withdrawals in the call."""
        data = super().next_call()
        withdrawn = [key[1] for key, text in self.in_flight if key[0] == "out" and text.startswith("withdraw")]
        self.repeats_in_flight = self.drains.count_repeats(withdrawn)
        if withdrawn and self.mark_in_flight is not None:
            self.drains.call_sent(self.loop.now(), withdrawn, self.mark_in_flight)
        return data

    def log_fields(self):
        """Like `Calls.log_fields`, with three more fields.

        `reason` is the urgency of the last message in the call. `again` is the number of withdrawals that are repeats.
        `queue_ms` is the time that the channel needs for this call and for what waits in the channel.
        """
        fields = super().log_fields()
        if fields:
            fields["reason"] = self.manager.last_urgency.value
            fields["queue_ms"] = max(0, self.channel_free_us - self.loop.now()) // 1000
        return fields | {"again": self.repeats_in_flight} if fields and self.repeats_in_flight else fields

    def _stale_table_fields(self):
        """Log fields: workers that left but are still in tables, and the longest time."""
        now, tables = self.loop.now(), self.manager.tables
        in_tables = {worker for table in self.relay.news.granted for worker in tables[table]}
        left, left_us = self.drains.unready_among(now, in_tables)
        return {"left_in_tables": left, "left_in_tables_ms": left_us // 1000}

    def _forget_gone_workers(self):
        """Free the indices of workers that neither the manager nor the list has any more.

        Call it right after a round, when no queued event refers to such a worker.
        """
        if not self.relay.news.in_snapshot:  # rows of an unfinished snapshot may still refer to them
            for worker in list(self.name_index.worker_names):
                if worker not in self.manager.workers and worker not in self.watch.addresses:
                    self.name_index.forget_worker(worker)
                    self.watch.forget(worker)

    def handle_exception(self, error):
        """Count and log an exception; no input may end the program."""
        self.counts["faults"] += 1
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.log("fault", problem=repr(error)[:200], file=frame.filename, line=frame.lineno)

    def _log_counts(self):
        self.loop.after(COUNTS_INTERVAL_US, self._log_counts)
        self.log(
            "counts",
            rounds=self.rounds,
            busy_ms=self.busy_us // 1000,
            longest_round_ms=self.longest_round_us // 1000,
            late_ms=self.max_lateness_us // 1000,
            longest_turn_ms=getattr(self.loop, "longest_turn_us", 0) // 1000,
            proxies=len(self.relay.news.joined),
            slices=len(self.relay.news.granted),
            workers=len(self.name_index.worker_indices),
            orders_waiting=len(self.waiting),
            strangers=len(self.collectors.unidentified),
            collectors=len(self.collectors.collectors),
            **self._stale_table_fields(),
            **self.coverage.fields(self.loop.now()),
            withdrawals_answered_late=self.drains.late,
            **{f"messages: {urgency.value}": count for urgency, count in self.manager.message_counts.items()},
            **{f"impossible report: {kind}": count for kind, count in sorted(self.manager.rejected_reports.items())},
            **{f"rule broken here: {rule}": count for rule, count in sorted(self.manager.violations.items())},
            dials=self.relay.news_link.dials + self.relay.call_link.dials,
            watches=self.watch.dials,
            **dict(sorted({**self.counts, **self.loop.counts}.items())),
        )

    def move(self, discovery, relay):
        """Change to other addresses of discovery and the relay; all state is kept."""
        if self.closing:
            return
        self.watch.move(discovery)
        self.relay.move(relay)

    def drain(self, on_done):
        """End the service: close the links at once, so that others take over, but answer callers first.

        Calls `on_done()` when that is done.
        """
        self.closing = True
        self._log_counts()
        self.log(
            "closing",
            callers=len(self.collectors.unidentified) + len(self.collectors.collectors),
            unsent=self.collectors.unsent,
            orders_waiting=len(self.waiting),
            in_flight=len(self.in_flight),
        )
        self.watch.close()
        self.relay.close()
        self.probes.close()
        self.collectors.drain(on_done)

    def close(self):
        """Close everything at once and log nothing; for use after `drain` or where there is no time for it."""
        self.closing = True
        self.collectors.close()
        self.watch.close()
        self.relay.close()
        self.probes.close()
