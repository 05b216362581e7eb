"""All decisions of a manager: worker health, admission levels, the layout of slices, and messages to proxies.

The host calls `manager.round(now, events, orders)` once per round. `events` is a list of tuples: the name of a method
from the section "Events" and its arguments. Decisions are written to `orders` at once. The types and the interface
of the writer are in `interface.py`. Workers, proxies, slices, classes and zones are given by index; times are whole
microseconds.

Reading order: constants, events, health, the layout. Admission levels are in `admission_levels.py`, packing slices into
bins is in `packing.py`; messages to the proxies are in `proxy_messages.py`, the tables in them in `table_updates.py`;
withdrawals that have to be repeated are in `withdrawals.py`.
"""

from collections import Counter
from random import Random
from statistics import median

from .admission_levels import (
    ADMITTED_LEARNING_RATE,
    ADMITTED_LEARNING_RATE_LIGHT_LOAD,
    LEVEL_LIMIT_SETTLE_US,
    LIGHT_LOAD_LATENCY,
    MIN_ADMITTED_SHARE,
    MIN_ANSWERS_FOR_MEAN,
    OVERLOAD_LATENCY,
    OVERLOADED_LOW,
    WORKER_ANSWERED_LOW,
    AdmissionLevels,
)
from .channel_schedule import ChannelSchedule, Urgency
from .cold_limits import FleetLoad
from .interface import Deployment, Orders, ProbeOutcome, WorkerState
from .owner_handover import OwnerHandovers
from .packing import match_bins, pack_slices, rendezvous_server
from .proxy_messages import MARK_COUNT, ProxyMessages
from .proxy_traffic import ProxyTraffic
from .report_limits import RejectedReport, ReportLimits
from .ring import BucketRing
from .table_updates import LINGER_WEIGHT
from .withdrawals import Withdrawals

# Demand and layout
WINDOW_US = 2_000_000  # one window of demand; an optional change of the layout is considered once per window
WINDOW_COUNT = 8  # windows of demand that are used; each counts half as much as the one after it
NO_REPORT_US = 6_000_000  # a slice without a report for this long is taken to have had no demand
MIN_LAYOUT_GAIN = 0.10  # part of the largest load by which a new layout must reduce it
COLD_START_SHARE = 0.25  # of a full bin, for a server that has just started
SLOTS_PER_BIN = 20  # bins are rounded up to a multiple of this part of a mean bin, so that similar servers can swap
# Health
BUCKET_US, BUCKET_COUNT = 500_000, 4  # length and number of the time buckets in which tries are summed
LEARNING_RATE = 0.02  # weight of a new load report in a worker's learned speed; with more, noise moves slices
PROBE_SILENCE_US = 1_500_000  # a probe that times out counts only if the last good answer is older than this
MIN_HEALTH = 0.02  # a failing worker still gets a little traffic, which shows when it has recovered
HEALTH_RECOVERY_US = 8_000_000  # the least time in which health rises from 0 to 1
# Probes and the worker list
PROBE_INTERVAL_US = 1_000_000  # each worker is probed this often
UNLISTED_GRACE = 0.15  # part of the drain grace in which the list must name a worker known only from a stored table
GONE_RETENTION_US = 30_000_000  # a worker that is gone for this long and in no table is forgotten
REJECTION_LOG_INTERVAL_US = 1_000_000  # between two log lines about reports that were left out
ANSWER_VALID_US = 3_000_000  # for this long after an answer a worker missing from the list is taken to be running


class Worker:
    """What this manager knows about one worker. Times are whole microseconds, None while not applicable.

    `kind`, `weight` and `state` are as listed; `drained`: the list had it as draining before it was gone.
    `started` is the start time of its process, None if the list does not give it.
    """

    def __init__(self):
        self.kind, self.weight, self.started = -1, 1.0, None
        # A worker known only from a stored table is taken to be ready, for a short time.
        self.state, self.drained = WorkerState.READY, False
        # Since when the worker is known only from stored tables; since when it is gone.
        self.unlisted_since = self.gone_since = None
        self.has_answered, self.last_answer_at = False, 0
        self.next_probe_at, self.overloaded, self.failing = 0, False, False
        self.reset_history()

    def reset_history(self):
        """Discard measurements, as the history of an earlier process says nothing about a new one."""
        # Per bucket: tries, lost tries, and the total time that the answered ones took.
        self.recent_tries = BucketRing(BUCKET_US, BUCKET_COUNT, 3)
        self.learned_metrics = {}  # of its load reports: {name: (running mean, number of reports)}
        self.health, self.missed_probes = 1.0, 0


class Manager(ProxyMessages, AdmissionLevels):
    """Assigns slices to workers for the proxies of one deployment.

    State is indexed by worker, proxy or slice number. `tables` holds {slice: {worker: weight}} as ordered, or as loaded
    from the store; `layout` holds {slice: {worker: share}} as planned. All times are whole microseconds.
    """

    def __init__(self, setup: Deployment, seed: int):
        self.setup, self.rng = setup, Random(seed)
        self.slices, self.owned_slices = range(setup.slice_count or 1), set() if setup.slice_count else {0}
        self.workers, self.proxies = {}, set()
        self.tables = {slice_index: {} for slice_index in self.slices}
        self.layout = {slice_index: {} for slice_index in self.slices}
        # By slice: the lingering replica, the demand the layout was made for, the start of ownership and the last
        # report. Then the mean load of a server in that layout, in tries per window, as far as it is believed.
        self.lingering, self.planned_demand, self.owned_since, self.last_report_at, self.mean_load = {}, {}, {}, {}, 0.0
        # Slices whose planned demand is only assumed; those that were placed anew by such a plan.
        self.unknown_demand, self.placed_by_assumption = set(), set()
        self.demand = {slice_index: BucketRing(WINDOW_US, WINDOW_COUNT + 1, 1) for slice_index in self.slices}
        # Whether the layout has to be updated in this round; when the next window and the next tick begin; when health
        # was updated last; workers that may not exceed the load that their capacity allows.
        self.layout_due, self.window_at, self.tick_at, self.health_at, self.capped_workers = True, 0, 0, 0, frozenset()
        self.schedule, self.proxy_traffic = ChannelSchedule(setup), ProxyTraffic(setup)
        # Reports that were left out, by kind, and since when the next of them may be logged.
        self.report_limits, self.rejected_reports = ReportLimits(setup, self.proxy_traffic), Counter()
        self.rejection_log_at = 0
        self.started, self.levels_message_due, self.answered_share = False, False, 1.0
        self.list_received = False  # whether any worker list has been received
        self.latency, self.min_latency = 0.0, 1.0  # mean time to answer as a part of the mean quoted time; its minimum
        # Part of the tries that the levels should admit that really arrive; whether few servers are overloaded and
        # answers are quick.
        self.admitted_share, self.lightly_loaded = 1.0, True
        # The estimated capacity of the fleet (None: no overload), the estimate at the last overload and the work
        # answered lately, all as quoted microseconds of work in BUCKET_COUNT buckets. Then when levels are reconsidered
        # and the levels in force by class.
        self.estimate, self.overload_estimate, self.answered_work, self.levels_at, self.levels = None, 0.0, 0.0, 0, {}
        self.levels_message = 1  # number of the first message that carries the present levels
        # By class: the levels computed here, and the upper limits set by the host.
        self.own_levels, self.max_levels = [1.0] * len(setup.classes), [1.0] * len(setup.classes)
        # Tries that arrived, by class, then how many of them the levels admitted.
        self.arrivals = BucketRing(BUCKET_US, BUCKET_COUNT, 2 * len(setup.classes))
        self.stalled_at, self.surge_threshold = None, 0.0
        # Classes whose levels no message has carried yet; since when proxies have joined that may lack levels.
        self.unsent_levels, self.newcomers_since = set(), None
        # The number of urgent lines that wait for room in the channel, when the ordered wake-up is due, and when the
        # next message may go, which waits until the channel is about to be free (None: no message waits).
        self.withdrawals, self.deferred_lines, self.wakeup_at, self.send_at = Withdrawals(setup), 0, 0, None
        self.handovers = OwnerHandovers(setup) if setup.single_owner else None
        # For the log: why the last message was sent, and the number of messages by reason.
        self.last_urgency, self.message_counts = Urgency.ORDINARY, Counter()

    def round(self, now: int, events: list, orders: Orders):
        """Process the events of one round and write the decisions to `orders`."""
        self.now, self.orders = now, orders
        if not self.started:
            self.start()
        for name, *values in events:
            getattr(self, name)(*values)
        if self.layout_due or now >= self.tick_at or self.waiting_message_may_go():
            self.decide()
        self.order_wakeup()

    @property
    def violations(self):
        """How often a message broke a rule of the channel's schedule, by rule."""
        return self.schedule.violations

    def start(self):
        """Set all levels to 1 and subscribe to the worker list, in the first round."""
        self.started = True
        self.set_levels([1.0] * len(self.setup.classes))
        if self.setup.lists_on_request:
            self.orders.follow_list(True)

    # Events. The host passes these names and arguments to `round`.

    def alarm_fired(self, token):
        pass  # a wake-up ordered by `schedule_wake` is due; the round itself does the work

    def worker_list_received(self, whole, entries):
        """The worker list has changed. `whole`: `entries` is the full list; otherwise only the changed entries."""
        ready = {index for index, known in self.workers.items() if known.state is WorkerState.READY}
        if whole:
            for record in self.workers.values():
                record.state = WorkerState.GONE
        for entry in entries:
            record = self.workers.setdefault(entry.worker, Worker())
            if entry.started_us is not None and entry.started_us != record.started:
                record.reset_history()
            record.kind, record.started, record.state = entry.kind, entry.started_us, entry.state
            record.unlisted_since = None
            record.weight = entry.weight if self.setup.weights_listed and entry.weight > 0 else 1.0
            record.drained = entry.state is WorkerState.DRAINING or record.drained and entry.state is WorkerState.GONE
            if entry.state is WorkerState.READY and not record.has_answered:
                self.probe_worker(entry.worker)
        for index in ready:
            if self.workers[index].state is not WorkerState.READY:
                self.withdrawals.worker_unready(self.now, index)
        for entry in entries:
            if entry.state is WorkerState.READY and entry.worker not in ready and self.list_received:
                self.withdrawals.worker_ready(self.now, entry.worker)
        self.layout_due = self.list_received = True

    def worker_list_failed(self):
        """The subscription to the worker list has ended; subscribe again."""
        self.orders.follow_list(True)

    def proxy_joined(self, proxy, zone, rate, fresh):
        """A proxy has joined the channel. `fresh`: its process was started anew and holds no state.

        `rate`: the tries per second that it usually sends, roughly; 0 if unknown. Its zone is not used.
        """
        self.proxies.add(proxy)
        self.proxy_traffic.record_rate(proxy, rate)
        # Every message carries the present levels, so a proxy that has acknowledged one since they were set has them.
        acknowledged = self.withdrawals.record_proxy_join(self.now, proxy, fresh)
        if self.handovers is not None:
            self.handovers.record_join(proxy, fresh, acknowledged)
        if acknowledged < self.levels_message:
            self.newcomers_since = self.now if self.newcomers_since is None else self.newcomers_since
        if not self.setup.slice_count:
            self.orders.bind_proxy(proxy, 0, 0)

    def proxy_left(self, proxy):
        """A proxy has left the channel."""
        self.proxies.discard(proxy)
        if self.handovers is not None:
            self.handovers.record_leave(self.now, proxy)
        if not self.proxies:
            self.schedule.sent_messages.expect_no_acknowledgements(self.now)

    def slice_ownership_changed(self, slice_index, owned):
        """This manager has become, or ceased to be, in charge of a slice; unknown slices are ignored."""
        if slice_index not in self.tables:
            return
        self.tables[slice_index], self.layout[slice_index], self.lingering[slice_index] = {}, {}, None
        (self.owned_slices.add if owned else self.owned_slices.discard)(slice_index)
        self.owned_since[slice_index] = self.now
        if self.handovers is not None:
            self.handovers.forget(slice_index)
        self.demand[slice_index] = BucketRing(WINDOW_US, WINDOW_COUNT + 1, 1)
        self.layout_due = True

    def table_line_loaded(self, slice_index, worker, weight):
        """The stored table of a slice that was taken over has this line."""
        if worker not in self.workers:
            self.workers[worker] = Worker()
            self.workers[worker].unlisted_since = self.now
        self.workers[worker].has_answered = True  # the former owner of the slice found that it answers
        if slice_index in self.owned_slices and weight > 0:
            self.tables[slice_index][worker] = weight
            self.withdrawals.record_loaded_line(self.now, worker)

    def demand_reported(self, slice_index, kind, count, lost, span_us, reporter=None):
        """`count` tries of class `kind` were made for a slice within the last `span_us`.

        `reporter`: index of the zone of the collector that reported it; None if unknown.
        """
        if self.is_rejected("demand", slice_index, reporter, count, span_us):
            return
        if slice_index in self.owned_slices and count > 0:
            self.demand[slice_index].add(self.now, span_us, count)
            self.last_report_at[slice_index] = self.now
            # A cold server's part of a slice was planned for less demand. If a slice surges, the layout is updated
            # before that part is sent.
            planned, reported = self.planned_demand.get(slice_index, 0.0), count / max(span_us, 1) * WINDOW_US
            if planned < self.surge_threshold < reported:
                self.layout_due = True
                self.orders.log(
                    f"surge of slice {slice_index}: {count} tries in {span_us // 1000} ms "
                    f"from zone {self.zone_name(reporter)}, {planned:.1f} planned for {WINDOW_US // 1000} ms, "
                    f"{self.mean_load:.1f} is a mean bin"
                )
            arrived = [count * (index == kind) for index in range(len(self.setup.classes))]
            self.arrivals.add(
                self.now,
                0,
                *arrived,
                *(self.levels.get(class_index, 1.0) * tries for class_index, tries in enumerate(arrived)),
            )

    def usage_reported(self, proxy, kind, count, lost, span_us, reporter=None):
        """As `demand_reported`, by proxy, in a deployment without slices."""
        self.demand_reported(0, kind, count, lost, span_us, reporter)

    def tries_reported(self, zone, worker, tries, lost, delay_us, span_us, report):
        """Proxies of a zone made `tries` at a worker and lost `lost` of them.

        `delay_us`: mean time to a good answer; `report`: the worker's load report, {name: value}.
        """
        if self.is_rejected("tries", worker, zone, tries, span_us) or self.is_rejected(
            "load", worker, zone, report.get("throughput", 0.0), 1_000_000
        ):
            return
        if worker in self.workers and tries > 0:
            lost = min(max(lost, 0), tries)
            self.workers[worker].recent_tries.add(self.now, 0, tries, lost, (tries - lost) * max(delay_us, 0))
            if lost < tries:
                self.record_answer(worker)
            self.record_load_report(worker, report)

    def probe_completed(self, worker, outcome, delay_us, report):
        """A probe of a worker has ended after `delay_us`; `report` is as in `tries_reported`."""
        if worker not in self.workers:
            return
        record = self.workers[worker]
        if outcome is ProbeOutcome.PASSED:
            record.missed_probes = 0
            self.record_answer(worker)
            if not self.is_rejected("load", worker, None, report.get("throughput", 0.0), 1_000_000):
                self.record_load_report(worker, report)
        elif outcome is not ProbeOutcome.FULL and (
            outcome is not ProbeOutcome.TIMED_OUT or self.now - record.last_answer_at > PROBE_SILENCE_US
        ):
            # While a worker answers, a timeout says nothing: the probe may have waited in the same queue as all else.
            record.missed_probes += 1
            record.next_probe_at = self.now

    def peer_message_received(self, manager, text):
        pass  # messages from other managers are not used

    def capped_workers_changed(self, workers):
        """`workers` may not exceed the load that their capacity allows, however well they answer.

        While a site is lost, other workers are preferred to them.
        """
        self.layout_due, self.capped_workers = self.layout_due or workers != self.capped_workers, workers

    def max_levels_changed(self, max_levels):
        """Set the upper limits of the levels, by class.

        When a site is lost, the load that the rest can carry is known before answers become slow.
        """
        if any(new < old for new, old in zip(max_levels, self.max_levels)):
            # Until then answers reflect the time before; acting on them would refuse the same excess twice.
            self.levels_at = self.now + LEVEL_LIMIT_SETTLE_US
        self.max_levels, self.layout_due = max_levels, True
        self.set_levels(self.own_levels)

    def mark_acknowledged(self, proxy, mark, delay_us):
        """A proxy has acknowledged a mark `delay_us` after it was sent."""
        self.withdrawals.acknowledge(proxy, self.message_number(mark))
        self.schedule.sent_messages.acknowledge(mark, delay_us)

    def messages_merged(self, earlier, later):
        """The message with the mark `earlier` was sent in one call with the one with the mark `later`."""
        self.schedule.sent_messages.merge(earlier, later)

    def acknowledgements_lost(self):
        """Messages sent so far will not be acknowledged: the connection that reports acknowledgements was lost."""
        self.schedule.sent_messages.expect_no_acknowledgements(self.now)
        self.withdrawals.mark_all_unverified()

    def withdrawal_refused(self, worker):
        """The order to withdraw a worker was not carried out."""
        self.withdrawals.record_refusal(self.now, worker)

    def channel_stalled(self, accepted_mark):
        """Messages after `accepted_mark` enter the channel only now and go to all proxies joined by now."""
        self.stalled_at = self.now
        self.schedule.sent_messages.requeue_after(self.now, accepted_mark, len(self.proxies))

    def zone_name(self, zone):
        """The name of a zone for the log; `zone` is its index, None if unknown."""
        return "unknown" if zone is None else self.setup.zones[zone]

    def is_rejected(self, kind, subject, reporter, tries, span_us):
        """Whether a report is left out because proxies cannot have sent so many tries; it is counted and logged.

        `kind`: "demand", "tries" or "load"; `subject`: the slice or the worker.
        """
        if self.report_limits.is_possible(tries, span_us):
            return False
        self.rejected_reports[kind] += 1
        if self.now >= self.rejection_log_at:
            self.rejection_log_at = self.now + REJECTION_LOG_INTERVAL_US
            max_tries = self.report_limits.max_tries(span_us)
            self.orders.log(
                str(RejectedReport(f"{kind} {subject}", self.zone_name(reporter), tries, span_us, max_tries))
            )
        return True

    def record_answer(self, worker):
        """A worker has answered a try or a probe well."""
        record = self.workers[worker]
        self.layout_due = self.layout_due or not record.has_answered
        record.has_answered, record.last_answer_at = True, self.now

    def record_load_report(self, worker, report):
        """Update the running means of a worker's load report, {name: value}."""
        record = self.workers[worker]
        names = ["utilization", "throughput"] if {"utilization", "throughput"} <= report.keys() else []
        # Overload lengthens the service time, which then does not show a slow worker.
        if report.get("recent_ms", 0) > 0 and not record.overloaded:
            names.append("recent_ms")
        for name in names:
            (mean, count), value = record.learned_metrics.get(name, (0.0, 0)), max(report[name], 0.0)
            record.learned_metrics[name] = (mean + max(LEARNING_RATE, 1.0 / (count + 1)) * (value - mean), count + 1)

    def message_number(self, mark):
        """The number of the last message that carried this mark; marks wrap around at MARK_COUNT."""
        sent = self.withdrawals.message_count
        return sent - (sent - mark) % MARK_COUNT

    # Health and admission.

    def ready_workers(self):
        """The workers that may hold slices, sorted: listed as ready and known to have answered.

        The list may be wrong. A listed worker that never answered may not belong to this deployment and waits for its
        first probe. A worker that left the list without draining stays as long as it answers, in deployments where
        leaving the list does not count as draining. If no worker remains, all that are listed as ready are returned.
        """
        records = sorted(self.workers.items())
        listed = [worker for worker, record in records if record.state is WorkerState.READY]
        still_answering = [
            worker
            for worker, record in records
            if record.state is WorkerState.GONE
            and not record.drained
            and not self.setup.removal_counts_as_drain
            and self.now - record.last_answer_at < ANSWER_VALID_US
        ]
        answered = [worker for worker in listed if self.workers[worker].has_answered or not self.setup.probes_allowed]
        return sorted(answered + still_answering) or listed

    def update_health(self):
        """Update the health of each worker and the figures of the fleet that the levels depend on.

        Health falls at once with lost tries and unanswered probes, and recovers over HEALTH_RECOVERY_US.
        """
        for record in self.workers.values():
            # The worker left before this manager or its present list began, so no list will ever report it as gone.
            if (
                record.unlisted_since is not None
                and self.now - record.unlisted_since > UNLISTED_GRACE * self.setup.drain_grace_us
            ):
                record.state, record.unlisted_since, self.layout_due = WorkerState.GONE, None, True
        ready = self.ready_workers()
        loss_rates, answers, total_tries, total_answers, total_delay = {}, {}, 1.0, 1.0, 0.0
        self.arrivals.advance(self.now)
        admitted = [sum(column) + 1e-9 for column in zip(*self.arrivals.buckets)][len(self.setup.classes) :]
        # The mean is over the classes as admitted: where only slow classes are admitted, slow answers are normal.
        mean_quoted_us = sum(count * kind.quoted_us for count, kind in zip(admitted, self.setup.classes)) / sum(
            admitted
        )
        for worker in ready:
            ring = self.workers[worker].recent_tries
            ring.advance(self.now)
            tries, lost, delay = map(sum, zip(*ring.buckets))
            answers[worker] = tries - lost
            self.workers[worker].overloaded = delay > OVERLOAD_LATENCY * mean_quoted_us * answers[worker]
            self.workers[worker].failing = tries > 0 and answers[worker] < WORKER_ANSWERED_LOW * tries
            loss_rates[worker] = lost / (tries + 2.0)
            total_tries, total_answers, total_delay = (
                total_tries + tries,
                total_answers + answers[worker],
                total_delay + delay,
            )
        self.answered_share, self.answered_work, self.latency = (
            total_answers / total_tries,
            total_answers * mean_quoted_us,
            total_delay / total_answers / mean_quoted_us,
        )
        # Clients that repeat refused tries are refused again, so fewer tries get through than the level suggests.
        # Under light load this part is learned at once: levels learned in an overload would refuse the repeats long
        # after it.
        self.lightly_loaded = self.latency < LIGHT_LOAD_LATENCY * OVERLOAD_LATENCY and sum(
            self.workers[worker].overloaded for worker in ready
        ) < OVERLOADED_LOW * len(ready)
        self.admitted_share += (
            ADMITTED_LEARNING_RATE_LIGHT_LOAD if self.lightly_loaded else ADMITTED_LEARNING_RATE
        ) * (min(1.0, max(MIN_ADMITTED_SHARE, total_tries / sum(admitted))) - self.admitted_share)
        self.min_latency = (
            min(self.min_latency, self.latency) if total_answers > MIN_ANSWERS_FOR_MEAN else self.min_latency
        )
        silent = sum(self.workers[worker].missed_probes > 1 for worker in ready)
        elapsed_us, self.health_at = self.now - (self.health_at or self.now), self.now
        answers_per_weight = total_answers / max(
            1e-9, sum(self.workers[worker].weight * self.warmth(worker) for worker in ready)
        )
        for worker in ready:
            record = self.workers[worker]
            # Health falls in proportion only: other workers must carry the rest, and many may fail in part.
            target = 1.0 - loss_rates[worker]
            if record.overloaded:
                # Slow good answers mean overload. Health is then at least the worker's share of all answers, compared
                # with its share of the fleet's weight.
                target = max(target, answers[worker] / (answers_per_weight * record.weight * self.warmth(worker)))
            elif silent * 2 <= len(ready):
                target *= 0.25 ** max(0, record.missed_probes - 1)
            target = max(MIN_HEALTH, target)
            self.layout_due = self.layout_due or target < 0.5 * record.health
            record.health = min(1.0, target, record.health + elapsed_us / HEALTH_RECOVERY_US)

    def warmth(self, worker):
        """Part of its full capacity that a worker has while it warms up: COLD_START_SHARE at its start, later 1."""
        started = self.workers[worker].started
        if started is None or not self.setup.cold_us:
            return 1.0
        return COLD_START_SHARE + (1.0 - COLD_START_SHARE) * min(
            1.0, max(0.0, (self.now - started) / self.setup.cold_us)
        )

    def speeds(self, ready):
        """Learned speed of each worker relative to the mean of its group, between 0.5 and 2; 1 if unknown.

        The group is all workers of its kind where weights are listed, otherwise all workers.
        """
        raw_speeds, by_group = {}, {}
        for worker in ready:
            record = self.workers[worker]
            means = {name: value for name, (value, _) in record.learned_metrics.items()}
            if means.get("utilization", 0) > 0 and means["throughput"] > 0:
                raw_speeds[worker] = means["throughput"] / means["utilization"]
            elif means.get("recent_ms"):
                raw_speeds[worker] = 1.0 / means["recent_ms"]
            if worker in raw_speeds:
                by_group.setdefault(record.kind * self.setup.weights_listed, []).append(raw_speeds[worker])
        means = {kind: sum(values) / len(values) for kind, values in by_group.items()}
        return {
            worker: min(
                2.0,
                max(0.5, raw_speeds[worker] / means[self.workers[worker].kind * self.setup.weights_listed]),
            )
            if worker in raw_speeds
            else 1.0
            for worker in ready
        }

    def capacities(self):
        """Relative capacity of each ready worker: listed weight * learned speed * warmth * health."""
        speed = self.speeds(self.ready_workers())
        return {
            worker: self.workers[worker].weight * speed[worker] * self.warmth(worker) * self.workers[worker].health
            for worker in speed
        }

    def popularity(self):
        """Returns ({slice: demand in tries per window}, slices without a sufficient report), for owned slices.

        Older windows count less. A slice without a sufficient report is given the mean of the others.
        """
        reported, unreported = {}, []
        for slice_index in sorted(self.owned_slices):
            ring, total, time, since = self.demand[slice_index], 0.0, 0.0, self.owned_since.get(slice_index, 0)
            ring.advance(self.now)
            # The time since the last report is left out as unknown, unless a report would have arrived by now.
            until = max(self.last_report_at.get(slice_index, 0), self.now - NO_REPORT_US)
            for age in range(WINDOW_COUNT + 1):
                window_start = (ring.current - age) * WINDOW_US
                total += ring.bucket(age)[0] * 0.5**age
                time += max(0, min(until, window_start + WINDOW_US) - max(since, window_start)) * 0.5**age
            if until - since >= WINDOW_US and total:
                reported[slice_index] = total / time * WINDOW_US
            else:
                unreported.append(slice_index)
        mean = sum(reported.values()) / len(reported) if reported else 1.0
        return reported | dict.fromkeys(unreported, mean), set(unreported)

    def slices_of_unknown_demand(self, unreported):
        """Those of the slices without a sufficient report that may have any demand.

        A report that covers a window would have arrived NO_REPORT_US after it: from then on there is none to wait for.
        """
        since = self.now - WINDOW_US - NO_REPORT_US
        return {slice_index for slice_index in unreported if self.owned_since.get(slice_index, 0) > since}

    def demand_at_cold_servers(self):
        """{slice: demand in tries per window that a cold server has to expect}, by the plan.

        Where the demand is not known, after a start or a hand-over, one slice may have all of the traffic.
        """
        return self.planned_demand | dict.fromkeys(self.unknown_demand, sum(self.planned_demand.values()))

    def fleet_load(self, demand, servers):
        """What these servers have to carry for `demand`, in tries per window, and what they can, as a FleetLoad."""
        usual, measured = (
            self.proxy_traffic.owned_tries(len(self.owned_slices), WINDOW_US),
            self.measured_capacity(servers),
        )
        # Demand includes tries that proxies refuse by the levels. They do not reach the servers.
        sent_share = self.sent_share()
        return FleetLoad(
            sum(self.workers[server].weight for server in servers),
            demand,
            None if usual is None else usual / sent_share,
            None if measured is None else measured / sent_share,
            self.setup.overload_multiple,
        )

    def measured_capacity(self, servers):
        """Capacity of a warm server of weight 1 by the load reports, in tries per window for owned slices, or None.

        It is the median of these servers, which few wrong reports do not move. What the median server has answered
        lately, it can carry in any case.
        """
        capacities, answered = [], []
        for server in servers:
            record = self.workers[server]
            if self.warmth(server) < 1.0 or record.weight <= 0:
                continue
            means = {name: value for name, (value, _) in record.learned_metrics.items()}
            if means.get("utilization", 0) > 0:
                capacities.append(means["throughput"] / means["utilization"] / record.weight)
            answered.append(sum(tries - lost for tries, lost, _ in record.recent_tries.buckets) / record.weight)
        if not capacities:
            return None
        owned_part = len(self.owned_slices) / (self.setup.slice_count or 1)
        answered_per_window = median(answered) * WINDOW_US / (BUCKET_US * BUCKET_COUNT)
        return max(median(capacities) * WINDOW_US / 1_000_000 * owned_part, answered_per_window)

    def probe_due_workers(self):
        """Probe each worker that is in use or listed as ready and whose probe is due."""
        ready = self.ready_workers()
        for worker, record in sorted(self.workers.items()):
            if self.now >= record.next_probe_at and (record.state is WorkerState.READY or worker in ready):
                self.probe_worker(worker)

    def probe_worker(self, worker):
        """Probe a worker now, where probes are allowed."""
        if self.setup.probes_allowed:
            self.workers[worker].next_probe_at = self.now + PROBE_INTERVAL_US
            self.orders.probe(worker)

    def forget_gone_workers(self):
        """Forget workers that have been gone for long, as whole fleets are replaced under new names.

        A worker that is withdrawn is readmitted first, as it may return under its old name. No table names it, so
        proxies have nothing to do for that order.
        """
        named = {worker for slice_index in self.owned_slices for worker in self.tables[slice_index]}
        for worker, record in sorted(self.workers.items()):
            record.gone_since = (record.gone_since or self.now) if record.state is WorkerState.GONE else None
            if (
                record.gone_since is not None
                and self.now - record.gone_since > GONE_RETENTION_US
                and worker not in named
            ):
                if worker in self.withdrawals.ordered_to_all | self.withdrawals.withdrawn:
                    self.orders.set_withheld(worker, False)
                del self.workers[worker]
                self.withdrawals.forget(worker)

    # The layout.

    def decide(self):
        """Update health, levels and layout as far as they are due, and send what has changed."""
        if self.now >= self.tick_at:
            tick_us = self.setup.report_period_us or BUCKET_US
            self.tick_at = self.now + tick_us
            self.orders.schedule_wake(tick_us, 0)
            self.update_health()
            self.update_levels()
            self.probe_due_workers()
        capacity = self.capacities()
        if self.owned_slices and (self.layout_due or self.now >= self.window_at):
            if self.now >= self.window_at:
                self.window_at = self.now + WINDOW_US
                self.forget_gone_workers()
            if capacity:
                self.update_layout(capacity)
            else:  # no server is usable; draining and gone ones still have to be removed from the tables
                self.layout, self.lingering = {slice_index: {} for slice_index in self.slices}, {}
        self.layout_due = False
        self.send(capacity)

    def update_layout(self, capacity):
        """Assign slices to servers. `capacity`: {server: relative capacity} of the servers that may hold slices.

        The present layout is kept, apart from parts that no longer fit, unless a new one reduces the largest relative
        load by more than MIN_LAYOUT_GAIN.
        """
        popularity, unreported = self.popularity()
        total, total_capacity = sum(popularity.values()), sum(capacity.values())
        fleet = self.fleet_load(total, capacity)
        self.planned_demand, self.mean_load = popularity, fleet.believed_demand / len(capacity)
        unknown = self.unknown_demand = self.slices_of_unknown_demand(unreported)
        self.surge_threshold = self.mean_load * self.setup.overload_multiple
        slot, cold_slot = total / len(capacity) / SLOTS_PER_BIN, self.mean_load / SLOTS_PER_BIN
        # Each manager uses an order of its own, or all would choose the same few of the servers that have just started.
        order = sorted(capacity, key=lambda server: hash((self.setup.manager_index, server)))
        bins = {server: slot * -(-total * capacity[server] / total_capacity // slot) for server in order}
        max_popularity, held = {server: self.mean_load for server in bins if self.warmth(server) < 1.0}, {}
        max_loads = {}
        for server in max_popularity:
            weight, warmth = self.workers[server].weight, self.warmth(server)
            cold_size = fleet.planned_cold_load(weight, warmth, self.answered_share)
            bins[server] = min(bins[server], max(cold_slot * (cold_size // cold_slot), 0.01 * cold_slot))
            max_loads[server] = fleet.max_cold_load(weight, warmth)
        for slice_index in popularity:
            table = self.tables[slice_index]
            lines = (
                {server: weight for server, weight in table.items() if weight > LINGER_WEIGHT}
                or table
                or self.layout[slice_index]
            )
            total_weight = sum(lines.values())
            held[slice_index] = {
                server: weight / total_weight for server, weight in lines.items() if server in capacity
            }
            if not held[slice_index] and slice_index in unreported:
                # Its demand may be any part of the traffic, which a cold server might not carry.
                if max_popularity:
                    self.placed_by_assumption.add(slice_index)
                held[slice_index] = {rendezvous_server(slice_index, capacity.keys() - max_popularity or capacity): 1.0}

        def loads(placed):
            """{server: load} of {slice: {server: load}}."""
            sums = dict.fromkeys(capacity, 0.0)
            for server, load in (line for parts in placed.values() for line in parts.items()):
                sums[server] += load
            return sums

        # Slices that were taken over keep their servers for one window, as the reasons of the former owner are not
        # known here. Cold servers are an exception, as they cannot carry their former load. After that window
        # MIN_LAYOUT_GAIN decides.
        settled = all(self.now - self.owned_since.get(slice_index, 0) >= WINDOW_US for slice_index in self.owned_slices)
        retained = (
            None if settled else {server: bins[server] if server in max_popularity else float("inf") for server in bins}
        )
        now_known = self.placed_by_assumption - unknown
        self.placed_by_assumption &= unknown
        overfilled = {server for slice_index in now_known for server in held.get(slice_index, ())}
        present = pack_slices(popularity, bins, held, retained, max_popularity, max_loads, unknown)
        limits = dict(bins)
        for server, load in loads(present).items():
            # A server that answers well within the quoted time is not overloaded, whatever its load by count. Where it
            # was given slices of unknown demand in place of cold servers, its bin decides once the demand is known.
            record = self.workers[server]
            if (
                not record.overloaded
                and record.health > 0.9
                and self.warmth(server) == 1.0
                and server not in self.capped_workers | overfilled
            ):
                limits[server] = max(bins[server], load)
        fresh = pack_slices(popularity, bins, held, limits, max_popularity, max_loads, unknown)
        fresh = match_bins(fresh, bins, held, max_popularity.keys())
        present_peak, fresh_peak = (
            max(load / limits[server] for server, load in loads(candidate).items()) for candidate in (present, fresh)
        )
        use_fresh = settled and not self.setup.single_owner and fresh_peak < (1 - MIN_LAYOUT_GAIN) * present_peak
        for slice_index, parts in (fresh if use_fresh else present).items():
            if self.setup.single_owner:
                parts = {max(parts, key=lambda server: (parts[server], -server)): 1.0}
            total_weight = sum(parts.values())
            shares = {
                server: round(part / total_weight, 2) for server, part in parts.items() if part >= 0.02 * total_weight
            }
            dropped = [server for server in self.layout[slice_index] if server not in shares and server in capacity]
            if dropped and not self.setup.single_owner:
                self.lingering[slice_index] = max(
                    dropped, key=lambda server: (self.layout[slice_index][server], -server)
                )
            self.layout[slice_index] = shares or {max(parts, key=parts.get): 1.0}
        self.update_lingering_replicas(capacity)

    def update_lingering_replicas(self, capacity):
        """Give each slice one lingering replica: the server dropped last if that is healthy, else a hashed one.

        It takes over when the slice's server fails, is avoided or withdrawn, so it must be warm and healthy.
        """
        if self.setup.single_owner:
            return
        healthy = [server for server in capacity if self.workers[server].health > 0.5 and self.warmth(server) == 1.0]
        for slice_index in sorted(self.owned_slices):
            if (
                self.lingering.get(slice_index) in self.layout[slice_index]
                or self.lingering.get(slice_index) not in healthy
            ):
                others = [server for server in healthy if server not in self.layout[slice_index]]
                self.lingering[slice_index] = rendezvous_server(slice_index, others) if others else None
