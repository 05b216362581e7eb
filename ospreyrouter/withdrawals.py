"""Which workers are withdrawn from the proxies, which proxies may have missed that, and when it is repeated.

An order goes to all joined proxies, so repeating what one proxy has missed costs a line at each. A proxy keeps what it
has received when its stream breaks: one that joins again has missed only what was ordered after its last
acknowledgement.

A withdrawal caused by the worker list is sent at once. A withdrawal that is only repeated, for proxies that have joined
or slices that were taken over since, waits until no more of these are expected, as they arrive in groups. It waits for
`BATCH_GRACE` of the drain grace at most, and never so long that the channel could not deliver it within the grace. For
these proxies and slices the grace begins when they arrive.
"""

from collections import Counter
from dataclasses import dataclass

QUIET_GRACE = 0.05  # part of the drain grace without a join or a slice taken over after which no more are expected
BATCH_GRACE = 0.4  # part of the drain grace for which a repeat waits for more arrivals at most
MAX_REFUSALS = 3  # refusals of one order before it is given up
REPEATS_KEPT = 16  # number of repeats remembered per order; an acknowledgement of any of them is proof


@dataclass
class ProxyState:
    """The orders that one proxy is known to hold. Messages are numbered from 1 in the order they were sent.

    The proxy held everything ordered up to message `joined_after` when it joined, except for the workers in `missing`,
    and has received what was sent to it since, up to message `acknowledged`. `may_hold_unknown`: it may also hold
    withdrawals ordered by an earlier process of this manager. `last_acknowledged`: the last message it has acknowledged
    on any stream, 0 for none.
    """

    may_hold_unknown: bool
    missing: set
    joined_after: int
    acknowledged: int
    last_acknowledged: int

    def holds(self, worker, messages):
        """Whether the proxy holds the order in force for a worker, which each of `messages` carried."""
        before = messages[0] <= self.joined_after and worker not in self.missing
        return before or any(self.joined_after < message <= self.acknowledged for message in messages)


class Withdrawals:
    """The withdrawals ordered so far, by worker index. Times are whole microseconds.

    `messages_by_worker`: the numbers of the messages that withdrew or readmitted a worker, since that last changed; a
        repeat adds one.
    `proxy_states`: the ProxyState of each proxy, by its index.
    `unverified`: proxies whose state is uncertain until they join again.
    `ordered_to_all`: workers that all joined proxies were ordered not to use.
    `missed_since`: {worker: time since when some proxy, or the table of some slice, may have missed that order}.
    `newly_unready`: {worker: time since when the list has it as not ready} of those that are not withdrawn yet.
    `withdrawn`: workers withdrawn and not readmitted since.
    `readmitted`: workers readmitted since this manager began, and not withdrawn since.
    `stale`: workers that some proxy may still hold as withdrawn though they are not.
    `unknown_possible`: whether some proxy may hold withdrawals that an earlier process of this manager has ordered.
    `forgotten_possible`: whether some proxy may hold withdrawals of workers that were forgotten since.
    """

    def __init__(self, setup):
        self.grace_us, self.max_transit_us = setup.drain_grace_us, setup.max_transit_us
        self.quiet_us, self.batch_us = int(QUIET_GRACE * setup.drain_grace_us), int(BATCH_GRACE * setup.drain_grace_us)
        self.ordered_to_all, self.missed_since, self.withdrawn, self.readmitted, self.stale = (
            set(),
            {},
            set(),
            set(),
            set(),
        )
        # When the last proxy joined or slice was taken over; when the last proxy joined.
        self.last_arrival_at = self.last_join_at = 0
        self.last_new_proxy_at = -setup.drain_grace_us  # when the last one joined that holds no order of this process
        self.stale_since = None
        # When a withdrawal, and a readmission, was last repeated; when the series of repeated withdrawals began.
        self.withdrawals_repeated_at = self.readmissions_repeated_at = -setup.drain_grace_us
        self.repeats_began_at = 0
        self.message_count, self.messages_by_worker, self.proxy_states = 0, {}, {}
        self.unknown_possible = self.forgotten_possible = False
        self.newly_unready, self.unverified = {}, set()
        self.refusals = Counter()  # by worker: refused orders to withdraw it, since it was last ready

    def record_proxy_join(self, now, proxy, fresh):
        """A proxy has joined. `fresh`: its process was started anew, so it holds nothing.

        Returns the number of the last message of this process that the proxy has acknowledged and still holds; 0 for
        none.
        """
        self.last_arrival_at = self.last_join_at = now
        # A broken stream loses nothing that was acknowledged. Repeating that for each proxy that joins again would fill
        # the channel and delay tables.
        state = None if fresh else self.proxy_states.get(proxy)
        may_hold_unknown = not fresh if state is None else state.may_hold_unknown
        is_unverified = proxy in self.unverified
        if is_unverified:  # it may have been started anew while no events arrived, or still be on the same stream
            self.unverified.discard(proxy)
            state = None
        missing = {
            ordered
            for ordered, messages in self.messages_by_worker.items()
            if state is None or not state.holds(ordered, messages)
        }
        if fresh and not is_unverified:  # it holds no withdrawal
            missing -= self.readmitted
        last_acknowledged = state.last_acknowledged if state is not None else 0
        if state is None:
            self.last_new_proxy_at = now
        self.proxy_states[proxy] = ProxyState(
            may_hold_unknown, missing, self.message_count, self.message_count, last_acknowledged
        )
        self.unknown_possible |= may_hold_unknown
        for worker in missing & self.ordered_to_all:
            self.missed_since.setdefault(worker, now)
        self.ordered_to_all -= missing
        self._add_stale(now, missing & self.readmitted)
        return last_acknowledged

    def add_unknown(self, now, usable):
        """Add the workers of `usable` that only an earlier process of this manager can have withdrawn.

        That process has left no record. Neither the list nor a worker's start time shows whether it ever saw the worker
        as not ready, so each worker without an order of this process counts, whenever and however it became ready.
        """
        if self.unknown_possible:
            self._add_stale(now, usable - self.messages_by_worker.keys())

    def _add_stale(self, now, workers):
        """Add workers that some proxy may still hold as withdrawn though they are not."""
        self.stale |= workers
        if self.stale and self.stale_since is None:
            self.stale_since = now

    def mark_all_unverified(self):
        """Events were lost: proxies may have been started anew and joined again meanwhile, so nothing is certain."""
        self.unverified = set(self.proxy_states)

    def record_refusal(self, now, worker):
        """The order to withdraw a worker was not carried out, so an acknowledgement of that message is no proof."""
        self.refusals[worker] += 1
        if self.refusals[worker] > MAX_REFUSALS:
            return  # it would be refused again each time
        messages = self.messages_by_worker.get(worker, [])
        del messages[-1:]
        if not messages:
            self.messages_by_worker.pop(worker, None)
            self.withdrawn.discard(worker)
        self.ordered_to_all.discard(worker)
        self.missed_since.setdefault(worker, now)

    def acknowledge(self, proxy, message):
        """The proxy has received everything that was sent to it up to that message."""
        state = self.proxy_states.get(proxy)
        if state is not None:
            state.acknowledged = state.last_acknowledged = max(state.acknowledged, message)

    def worker_ready(self, now, worker):
        """The list has the worker as ready and did not before; it may have been withdrawn and forgotten."""
        self.newly_unready.pop(worker, None)
        del self.refusals[worker]
        if self.forgotten_possible and worker not in self.messages_by_worker:
            self._add_stale(now, {worker})

    def more_joins_expected(self, now):
        """Whether more proxies may have joined that were not reported yet, as proxies join in groups."""
        return bool(self.proxy_states) and now - self.last_join_at < self.quiet_us

    def record_loaded_line(self, now, worker):
        """A slice was taken over whose table names that worker."""
        self.last_arrival_at = now
        if worker in self.newly_unready:
            return  # it is not withdrawn anywhere yet and will be at once
        self.ordered_to_all.discard(worker)
        self.missed_since.setdefault(worker, now)

    def worker_unready(self, now, worker):
        """The list no longer has the worker as ready."""
        self.ordered_to_all.discard(worker)
        self.missed_since.pop(worker, None)
        self.newly_unready.setdefault(worker, now)

    def repeat_due_at(self, drain_time_us):
        """When the withdrawals that may have been missed are to be repeated; there must be at least one.

        `drain_time_us`: how long the channel takes for its queue and for the repeat.
        """
        since = min(self.missed_since.values())
        batch_due_at = min(self._batch_due_at(self.withdrawals_repeated_at), since + self.batch_us)
        return min(batch_due_at, self.repeat_deadline(drain_time_us))

    def repeat_deadline(self, drain_time_us):
        """When a repeat has to be sent at the latest to be in time; without end if none is to be sent."""
        since = min(self.missed_since.values(), default=float("inf"))
        return since + self.grace_us - self.max_transit_us - drain_time_us

    def arrivals_settled_at(self, since):
        """When no more proxies are expected after those that joined at `since`, which wait `batch_us` at most."""
        return min(self.last_arrival_at + self.quiet_us, since + self.batch_us)

    def _batch_due_at(self, repeated_at):
        """When no more arrivals are expected; while they do not stop, `batch_us` after the last repeat."""
        return max(self.last_arrival_at + self.quiet_us, repeated_at + self.batch_us)

    def retain_missed(self, lost):
        """Drop repeats for all workers but `lost`: others are no longer in any table, or are ready."""
        self.missed_since = {worker: since for worker, since in self.missed_since.items() if worker in lost}

    def repeats_expected(self, now):
        """Whether withdrawals of workers that tables name will have to be repeated, as proxies keep joining."""
        return bool(self.missed_since) or now - self.last_new_proxy_at < self.grace_us

    def proxies_join(self, now):
        """Whether a proxy has joined lately, with or without the orders of this process."""
        return bool(self.proxy_states) and now - self.last_join_at < self.grace_us

    def repeats_persist(self, now):
        """Whether withdrawals have been repeated for longer than one group of arrivals and the repeats for it take."""
        is_series = now - self.withdrawals_repeated_at <= self.grace_us
        return bool(self.missed_since) and is_series and now - self.repeats_began_at > 2 * self.grace_us

    def oldest_obligation(self, withdrawals):
        """Since when the oldest of these withdrawals or of the missed ones is due; None if there are none."""
        pending = [self.newly_unready[worker] for worker in withdrawals if worker in self.newly_unready]
        return min([*pending, *self.missed_since.values()], default=None)

    def due_withdrawals(self, now, lost, drain_time_us, few_lines, message_due):
        """Returns two lists of workers: to withdraw because the list demands it, and to withdraw again.

        The second is sorted by the time since when the withdrawal may have been missed.

        `few_lines`: a repeat of at most this many lines costs no more than the head of a message of its own. So it is
        sent along with withdrawals that are due, or with other lines if these go at once (`message_due`).
        """
        first_time = sorted(lost - self.ordered_to_all - self.missed_since.keys())
        joins_others = (first_time or message_due) and len(self.missed_since) <= few_lines
        if not self.missed_since or not joins_others and now < self.repeat_due_at(drain_time_us):
            return first_time, []
        return first_time, sorted(self.missed_since, key=lambda worker: (self.missed_since[worker], worker))

    def due_readmissions(self, now, usable):
        """Workers of `usable` to readmit once more, for proxies that may have missed it."""
        if not self.stale:
            return set()
        due_at = min(self._batch_due_at(self.readmissions_repeated_at), self.stale_since + self.batch_us)
        return self.stale & usable if now >= due_at else set()

    def record_orders(self, now, withdrawals, readmissions):
        """Record the withdrawals and readmissions that the next message carries; called even if there are none."""
        self.message_count += 1
        if self.missed_since.keys() & set(withdrawals):
            if now - self.withdrawals_repeated_at > self.grace_us:
                self.repeats_began_at = now
            self.withdrawals_repeated_at = now
        if self.stale & set(readmissions):
            self.readmissions_repeated_at = now
        for worker in [*withdrawals, *readmissions]:
            changed = (worker in self.withdrawn) != (worker in withdrawals) or worker not in self.messages_by_worker
            earlier = [] if changed else self.messages_by_worker[worker]
            self.messages_by_worker[worker] = [*earlier[:1], *earlier[1:][-REPEATS_KEPT:], self.message_count]
        for worker in withdrawals:
            self.missed_since.pop(worker, None)
        for worker in [*withdrawals, *readmissions]:
            self.newly_unready.pop(worker, None)
        self.ordered_to_all = (self.ordered_to_all | set(withdrawals)) - set(readmissions)
        self.withdrawn = (self.withdrawn | set(withdrawals)) - set(readmissions)
        self.readmitted, self.stale = (
            (self.readmitted | set(readmissions)) - set(withdrawals),
            self.stale - set(readmissions),
        )
        self.stale_since = self.stale_since if self.stale else None

    def forget(self, worker):
        """Drop all state of a worker that has been gone for long and was just readmitted at the joined proxies."""
        self.forgotten_possible |= worker in self.messages_by_worker
        self.missed_since.pop(worker, None)
        self.messages_by_worker.pop(worker, None)
        self.newly_unready.pop(worker, None)
        del self.refusals[worker]
        for workers in (self.ordered_to_all, self.withdrawn, self.readmitted, self.stale):
            workers.discard(worker)
