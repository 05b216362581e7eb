"""Adapter between the service and the decision policy (`policy.Manager`), without I/O.

    core = ManagerCore(setup, manager_index, seed)
    core.list_received(now, entries); core.proxy_joined(now, proxy, fresh)   # queue events for the policy
    for effect in core.run_round(now): ...                                   # apply the effects in this order

Events are queued as tuples and passed to the policy in the next round. The core is itself the receiver of the policy's
orders (`interface.Orders`) and turns them into effects, which are tuples as well:

- ("store", tables): write these tables to the store;
- ("send", proxies, lines, push): push a message that counts `lines` lines to these proxies;
- ("read", slices): ask the proxies to read these slices from the store;
- ("probe", worker name, host, port): probe a worker;
- ("wake", at_us): call `timer_fired` at this time;
- ("log", text): write the text to the log.

`now` is an argument of each method that needs it, in microseconds. The content of tables, the time at which they are
sent, withheld workers and admission levels are decisions of the policy and are not made here.
"""

from collections import Counter
from dataclasses import replace

from ..digest import Digest, Handover, Reporters, SilenceDetector
from ..interface import ALL_TABLES, ProbeOutcome, RetryPolicy, WorkerEntry, WorkerState
from ..policy import Manager
from ..sites import SiteMonitor, SpillController
from ..versions import delta_is_cheaper, make_delta, next_version
from ..xds.documents import Line, Push

RETRY_NAMES = {
    RetryPolicy.NONE: "none",
    RetryPolicy.IF_NOT_RUN: "proven",
    RetryPolicy.ONCE: "once",
    RetryPolicy.TWICE: "twice",
}
# Levels reported by proxies that join within this time after the first one were set by an earlier incarnation.
RECOVERY_US = 5_000_000
LOST_SITE_PROBE_INTERVAL_US = 1_000_000
STATE_BY_NAME = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


class WorkerRecord:
    """Address and current process of one worker, which the policy does not know: it knows workers by index.

    `started_us` is None if the process started so long ago that its age does not matter, or if the age is unknown.
    """

    __slots__ = ("name", "host", "port", "zone", "incarnation", "started_us")

    def __init__(self, name):
        self.name, self.host, self.port, self.zone = name, "", 0, ""
        self.incarnation, self.started_us = None, None


class ManagerCore:
    """Queues events for the policy and turns its orders into effects; see the module docstring.

    `setup` is the DeploymentFile, `manager_index` the position of this manager in `setup.managers`. `seed` seeds the
    policy's random generator. `policy_class` and `handover_class` are replaced in tests.
    """

    def __init__(self, setup, manager_index, seed, policy_class=Manager, handover_class=Handover):
        self.setup, self.manager_index, self.name = setup, manager_index, setup.managers[manager_index].name
        self.parameters = setup.to_interface(manager_index)
        self.policy = policy_class(self.parameters, seed)
        self.class_indices = {spec.name: index for index, spec in enumerate(setup.classes)}
        self.zone_indices = {name: index for index, name in enumerate(setup.zones)}
        self.proxy_indices = {spec.name: index for index, spec in enumerate(setup.proxies)}
        self.worker_indices, self.worker_records, self.kind_indices = {}, [], {}
        self.tables = {}  # {slice: {worker index: weight}}: tables of the owned slices, as ordered by the policy
        self.published_tables = {}  # {slice: Table}: last version published or read from the store
        self.epoch, self.push_number = 0, 0
        self.levels, self.withheld, self.joined_proxies = {}, set(), set()
        self.digest = Digest(
            Reporters(setup.reports.reporters_most),
            handover_class(setup.reports.lines_per_s),
            self.zone_indices,
            self.class_indices,
            setup.slices,
            SilenceDetector(max(spec.quoted_us for spec in self.parameters.classes)),
        )
        self.pending_events, self.effects = [], []
        self.mark_sent_us = {}
        self.changed_slices, self.withhold_changes, self.requested_mark = set(), {}, None
        self.now, self.unsupported, self.ordered_lines, self.fences, self.transferring = 0, 0, 0, {}, frozenset()
        self.suppressed_slices, self.deltas = set(), setup.deltas
        self.unready_since = {}  # {worker name: time of the first list with the worker draining or missing}
        # Workers whose share must not exceed the one that follows from their weight.
        self.lost_sites_probed_us, self.bounded_workers = 0, frozenset()
        self.first_join_us = None  # when the first proxy joined
        # {worker name: "ready" or "draining"} of the newest list, and {slice: end of the hold after a rollback}.
        self.listed_states, self.held_until_us = None, {}
        self.sites, self.listed_entries = SiteMonitor(setup.zones, round(setup.sites.window_s * 1e6)), []
        kinds = {spec.name: (spec.utility, spec.quoted_us) for spec in self.parameters.classes}
        self.spill = SpillController(
            setup.zones,
            kinds,
            setup.tiers(),
            setup.reserves_by_site(),
            self.parameters.cold_share,
            self.parameters.cold_us,
        )

    # Events.

    def worker_index(self, worker_name):
        """Return the index of a worker; a name that is new gets the next free one."""
        if worker_name not in self.worker_indices:
            self.worker_indices[worker_name] = len(self.worker_records)
            self.worker_records.append(WorkerRecord(worker_name))
        return self.worker_indices[worker_name]

    def list_received(self, now, listed_workers):
        """Accept a complete worker list.

        Entries are (name, host, port, zone, kind, cell, state, weight, incarnation, age_us or None). If a worker of a
        published table moved to another address, that table is published again with the new one.
        """
        policy_entries, moved_workers = [], set()
        self.listed_states = {entry[0]: entry[6] for entry in listed_workers}
        for name, host, port, zone, kind, cell, state, weight, incarnation, age_us in listed_workers:
            index = self.worker_index(name)
            record = self.worker_records[index]
            if record.host and (record.host, record.port) != (host, port):
                moved_workers.add(index)
            if incarnation != record.incarnation:
                # The list states the age of the process. It is converted to a start time only once per incarnation:
                # the result differs slightly with each list, and a new start time means a new process.
                record.incarnation, record.started_us = incarnation, None if age_us is None else now - age_us
            record.host, record.port, record.zone = host, port, zone
            self.digest.worker_started(name, index, record.started_us)
            policy_entries.append(
                WorkerEntry(
                    index,
                    self.zone_indices[zone],
                    self.kind_indices.setdefault(kind, len(self.kind_indices)),
                    cell,
                    STATE_BY_NAME[state],
                    weight,
                    record.started_us,
                )
            )
        self.listed_entries = policy_entries
        for record in self.worker_records:
            state = self.listed_states.get(record.name)
            if state == "ready" or state is None and not self.parameters.removal_counts_as_drain:
                self.unready_since.pop(record.name, None)
            else:
                self.unready_since.setdefault(record.name, now)
        self._send_list_to_policy(now)
        slices_with_moved_workers = {
            slice_index for slice_index, weights in self.tables.items() if moved_workers & weights.keys()
        }
        if slices_with_moved_workers:
            self.changed_slices |= slices_with_moved_workers
            self._publish(now)
            self.effects.append(("read", sorted(slices_with_moved_workers)))

    def has_overdue_drains(self, now, after_us):
        """Whether a table still has a worker that has been draining or missing for `after_us` and is not withheld."""
        overdue_workers = {
            self.worker_indices[name] for name, since_us in self.unready_since.items() if now - since_us >= after_us
        } - self.withheld
        return bool(overdue_workers) and any(overdue_workers & weights.keys() for weights in self.tables.values())

    def _send_list_to_policy(self, now):
        """Queue the worker list for the policy, with states and weights adjusted to the state of the sites.

        - If returns are bounded (`bound_returns`), workers of a returning site have a fraction of their weight.
        - If the deployment describes how sites differ (`distinguishes_sites`: tiers, distances, reserves or costs),
          workers have the fraction of their weight that the spill plan gives to their site when another one is lost.
        - Workers of a site that an operator holds out are draining, those of an excluded lost site are gone, whatever
          the list says.
        """
        sites, distinguishes_sites = self.setup.sites, self.setup.sites.distinguishes_sites
        sizes = [entry.weight if self.setup.weights_listed else 1.0 for entry in self.listed_entries]
        factors = [
            (self.sites.usable_fraction(self.setup.zones[entry.zone]) if sites.bound_returns else 1.0)
            * (self.spill.size_fractions[self.setup.zones[entry.zone]] if distinguishes_sites else 1.0)
            for entry in self.listed_entries
        ]
        # Reducing the weights of other workers must not increase the share of a cold worker.
        overall_factor = (
            sum(size * factor for size, factor in zip(sizes, factors)) / max(1e-9, sum(sizes))
            if distinguishes_sites
            else 1.0
        )
        policy_entries = []
        for entry, size, factor in zip(self.listed_entries, sizes, factors):
            site = self.setup.zones[entry.zone]
            state = (
                WorkerState.DRAINING
                if self.sites.site_states[site].held_out
                else WorkerState.GONE
                if self._is_excluded(site)
                else entry.state
            )
            cold = entry.started_us is not None and now - entry.started_us < self.parameters.cold_us
            policy_entries.append(
                replace(entry, state=state, weight=size * (min(factor, overall_factor) if cold else factor))
            )
        self.pending_events.append(("worker_list_received", True, policy_entries))
        bounded_workers = frozenset(
            entry.worker
            for entry in self.listed_entries
            if distinguishes_sites and self.spill.size_fractions[self.setup.zones[entry.zone]] < 1.0
        )
        if bounded_workers != self.bounded_workers:
            self.bounded_workers = bounded_workers
            self.pending_events.append(("capped_workers_changed", bounded_workers))

    def evaluate_sites(self, now, held_out=()):
        """Update site states and the spill plan from reported tries, demand and probes.

        `held_out` are the sites that operators hold out. Returns the changes as (site, old state, new state, reason).
        """
        summary_before = self._site_summary()
        ready = Counter(
            self.setup.zones[entry.zone] for entry in self.listed_entries if entry.state == WorkerState.READY
        )
        for index, (tries, lost, delay_sum_us) in self.digest.take_try_sums().items():
            worker_record = self.worker_records[index]
            if worker_record.zone:
                self.sites.record(now, worker_record.zone, "sums", tries - lost, lost)
                self.spill.record_tries(now, worker_record.name, worker_record.zone, tries - lost, lost, delay_sum_us)
                load = self.digest.latest_load(worker_record.name)
                if load:
                    self.spill.record_load_report(
                        now,
                        worker_record.name,
                        worker_record.zone,
                        load,
                        None if worker_record.started_us is None else now - worker_record.started_us,
                    )
        for (site, kind), (demanded, refused) in self.digest.take_demand_sums().items():
            if kind in self.class_indices:
                self.spill.record_demand(now, site, kind, demanded, refused)
        total_rate = sum(self.sites.carried_per_s(now, site_name) for site_name in self.sites.site_states)
        for site_name in self.sites.site_states:
            self.sites.hold_out(site_name, site_name in held_out)
        if self.listed_states is None:
            return []  # before the first list the workers of the sites are unknown; an empty list is a list
        changes = self.sites.update(
            now, lambda site: total_rate * ready[site] / max(1, ready.total()), lambda site: ready[site]
        )
        sizes_changed = self._update_spill(now)
        if sizes_changed or summary_before != self._site_summary():
            self._send_list_to_policy(now)
        self._probe_lost_sites(now)
        return changes

    def _site_summary(self):
        """The properties of the sites from which worker states and weights follow."""
        return [
            (self.sites.usable_fraction(site), state.held_out, self._is_excluded(site))
            for site, state in self.sites.site_states.items()
        ]

    def _is_excluded(self, site):
        """Whether the workers of a site are removed because it is lost.

        Without probes a lost site stays in use, as nothing else could show that it is back.
        """
        return self.parameters.probes_allowed and self.sites.is_excluded(site)

    def _probe_lost_sites(self, now):
        """Probe the ready workers of excluded sites: the policy does not, as they are gone in its list."""
        if now - self.lost_sites_probed_us < LOST_SITE_PROBE_INTERVAL_US:
            return
        self.lost_sites_probed_us = now
        self.effects += [
            (
                "probe",
                self.worker_records[entry.worker].name,
                self.worker_records[entry.worker].host,
                self.worker_records[entry.worker].port,
            )
            for entry in self.listed_entries
            if entry.state == WorkerState.READY and self._is_excluded(self.setup.zones[entry.zone])
        ]

    def _update_spill(self, now):
        """Update the spill plan and queue new level bounds for the policy. Returns whether worker weights changed."""
        workers, parts_before, bounds_before = [], self.spill.size_fractions, self.spill.admission_limits
        for index, record in enumerate(self.worker_records):
            if record.zone:
                # Same rule as in the policy: a worker that left the list without draining may stay while it answers.
                state = self.listed_states.get(record.name)
                may_carry = (
                    state == "ready"
                    or state is None
                    and not self.parameters.removal_counts_as_drain
                    and self.spill.is_answering(now, record.name)
                )
                workers.append(
                    (
                        record.name,
                        record.zone,
                        may_carry and index not in self.withheld,
                        None if record.started_us is None else now - record.started_us,
                    )
                )
        down = {
            site
            for site, site_state in self.sites.site_states.items()
            if site_state.state == "returning" or self.sites.has_no_capacity(site)
        }

        def proven(site):
            if self.sites.has_no_capacity(site):
                return 0.0
            return self.sites.usable_fraction(site) if self.setup.sites.bound_returns else 1.0

        levels = {class_name: self.levels.get(class_name, (1.0, ""))[0] for class_name in self.class_indices}
        self.spill.update(now, workers, down, proven, levels, len(self.tables) / self.setup.slices)
        if self.spill.admission_limits != bounds_before and self.setup.sites.refuse_ahead:
            self._send_level_bounds()
        return self.setup.sites.distinguishes_sites and self.spill.size_fractions != parts_before

    def _send_level_bounds(self):
        """Queue the upper limits of the admission levels, by class, for the policy."""
        self.pending_events.append(
            ("max_levels_changed", [self.spill.admission_limits.get(spec.name, 1.0) for spec in self.setup.classes])
        )

    def proxy_joined(self, now, proxy, fresh, levels=None):
        """Accept a proxy. `fresh`: it holds no orders of this manager.

        `levels` ({class: level}) are in force at the proxy since before this manager restarted. During recovery, levels
        below 1 are restored as bounds until the capacity of the sites is known again, as a lost site may be the reason.
        """
        self.first_join_us = now if self.first_join_us is None else self.first_join_us
        if (
            now - self.first_join_us < RECOVERY_US
            and self.setup.sites.refuse_ahead
            and self.spill.restore_limits(
                now,
                {kind: level for kind, level in (levels or {}).items() if kind in self.class_indices and level < 1.0},
            )
        ):
            self._send_level_bounds()
        index, spec = self.proxy_indices[proxy], self.setup.proxies[self.proxy_indices[proxy]]
        self.joined_proxies.add(index)
        self.pending_events.append(("proxy_joined", index, self.zone_indices[spec.zone], spec.usual_per_s, fresh))

    def proxy_left(self, proxy):
        """Forget a proxy whose connections have ended."""
        index = self.proxy_indices[proxy]
        if index in self.joined_proxies:
            self.joined_proxies.discard(index)
            self.pending_events.append(("proxy_left", index))

    def mark_acknowledged(self, now, proxy, mark):
        """Report to the policy how many microseconds a joined proxy took to acknowledge a mark."""
        index = self.proxy_indices[proxy]
        if index in self.joined_proxies and mark in self.mark_sent_us:
            self.pending_events.append(("mark_acknowledged", index, mark, now - self.mark_sent_us[mark]))

    def probe_finished(self, now, worker, outcome, delay_us, report):
        """Accept the `ProbeOutcome` of a probe, its duration and the worker's load report."""
        if self.worker_records[self.worker_indices[worker]].zone:
            # A worker that rejects a probe because it is full is reachable.
            answered = outcome in (ProbeOutcome.PASSED, ProbeOutcome.FULL)
            self.spill.record_probe(now, worker, self.worker_records[self.worker_indices[worker]].zone, answered)
            self.sites.record(
                now, self.worker_records[self.worker_indices[worker]].zone, "probes", answered, not answered
            )
        self.pending_events.append(("probe_completed", self.worker_indices[worker], outcome, delay_us, report))

    def take_custody(self, epoch, owned, stored_tables):
        """Replace the set of owned slices by that of a newer epoch; an older epoch is ignored.

        `owned` is {slice: fence}, `stored_tables` is {slice: Table} as found in the store. Proxies are asked to read
        the slices that are new or have a new fence.
        """
        if epoch < self.epoch:
            return
        self.epoch, self.transferring = epoch, frozenset()
        previous_fences = self.fences
        for slice_index in sorted(self.tables.keys() - owned.keys()):
            del self.tables[slice_index]
            self.published_tables.pop(slice_index, None)
            self.pending_events.append(("slice_ownership_changed", slice_index, False))
        gained = []
        for slice_index, fence in sorted(owned.items()):
            if previous_fences.get(slice_index) == fence and slice_index in self.tables:
                continue
            gained.append(slice_index)
            if slice_index in self.tables:
                continue  # only the fence is new
            table = stored_tables.get(slice_index)
            self.tables[slice_index] = {}
            if table is not None:
                self.published_tables[slice_index] = table
                for line in table.lines:
                    index = self.worker_index(line.worker)
                    record = self.worker_records[index]
                    if not record.host:
                        record.host, record.port, record.zone = line.host, line.port, line.zone
                        self.digest.worker_started(line.worker, index, None)
                    self.tables[slice_index][index] = line.weight
            self._hand_over_slice(slice_index)
        self.fences = dict(owned)
        self.digest.owned_slices = set(self.tables)
        if gained:
            self.effects.append(("read", gained))

    def set_transferring(self, slices):
        """Stop publishing these slices, which are being transferred to another manager.

        An empty collection cancels the transfer. The slices for which the policy ordered lines in the meantime are then
        handed over to it again, as these lines were discarded.
        """
        self.transferring = frozenset(slices)
        if not slices:
            for slice_index in sorted(self.suppressed_slices & self.tables.keys()):
                self.pending_events.append(("slice_ownership_changed", slice_index, False))
                self._hand_over_slice(slice_index)
        self.suppressed_slices = set()

    def _hand_over_slice(self, slice_index):
        """Queue events for the policy: it owns a slice, and its table has these lines."""
        self.pending_events.append(("slice_ownership_changed", slice_index, True))
        self.pending_events += [
            ("table_line_loaded", slice_index, worker, weight)
            for worker, weight in sorted(self.tables[slice_index].items())
        ]

    def is_usable(self, worker, now):
        """Whether a restored table may contain a worker: it is listed as ready and has been running for `cold_us`."""
        index = self.worker_indices.get(worker)
        record = self.worker_records[index] if index is not None else None
        return (
            record is not None
            and (self.listed_states or {}).get(worker) == "ready"
            and (record.started_us is None or now - record.started_us >= self.parameters.cold_us)
        )

    def roll_back(self, now, restored_lines, hold_until_us):
        """Publish restored lines ({slice: lines}) as new versions and return the new tables.

        The policy is handed the slices with these lines. Proxies read them from the store, as they do after a takeover.
        """
        tables = []
        for slice_index, lines in sorted(restored_lines.items()):
            table = self.published_tables[slice_index] = next_version(
                self.published_tables.get(slice_index), slice_index, self.name, self.epoch, lines
            )
            tables.append(table)
            self.tables[slice_index] = {self.worker_index(line.worker): line.weight for line in lines}
            self.pending_events.append(("slice_ownership_changed", slice_index, False))
            self._hand_over_slice(slice_index)
            if hold_until_us > now:
                self.held_until_us[slice_index] = hold_until_us
        self.effects.append(("read", sorted(restored_lines)))
        return tables

    def reassert_held(self, now, max_slices):
        """Hand held slices over to the policy again; return the number of held slices.

        The policy leaves the table of a slice that it has just taken over unchanged for a while, so a hold lasts if
        this is repeated within that time. At most `max_slices` slices are handed over per call, in rotation.
        """
        self.held_until_us = {
            slice_index: until_us
            for slice_index, until_us in self.held_until_us.items()
            if until_us > now and slice_index in self.tables
        }
        for slice_index in list(self.held_until_us)[:max_slices]:
            self.held_until_us[slice_index] = self.held_until_us.pop(slice_index)  # move to the end of the rotation
            self.pending_events.append(("slice_ownership_changed", slice_index, False))
            self._hand_over_slice(slice_index)
        return len(self.held_until_us)

    # Decision rounds.

    def run_round(self, now):
        """Pass the pending events to the policy and return the effects of its orders."""
        self.now = now
        self.changed_slices, self.withhold_changes, self.requested_mark = set(), {}, None
        events, self.pending_events = self.pending_events + self.digest.take_lines(now), []
        self.ordered_lines = 0
        self.policy.round(now, events, self)
        self._publish(now)
        effects, self.effects = self.effects, []
        return effects

    def _publish(self, now):
        """Queue the effects that store changed tables and send them to the proxies."""
        if not (self.changed_slices or self.withhold_changes or self.requested_mark is not None):
            return
        tables, documents = [], []
        for slice_index in sorted(self.changed_slices):
            if slice_index not in self.tables:
                continue
            previous = self.published_tables.get(slice_index)
            records = [self.worker_records[index] for index in sorted(self.tables[slice_index])]
            lines = tuple(
                Line(
                    record.name,
                    record.host,
                    record.port,
                    record.zone,
                    self.tables[slice_index][self.worker_indices[record.name]],
                )
                for record in records
            )
            table = self.published_tables[slice_index] = next_version(
                previous, slice_index, self.name, self.epoch, lines
            )
            tables.append(table)
            delta = make_delta(previous, table) if previous is not None and self.deltas else None
            documents.append(delta if delta is not None and delta_is_cheaper(delta, table) else table)
        if tables:
            self.effects.append(("store", tables))
        if self.requested_mark is not None:
            self.push_number += 1
            push = Push(
                self.name,
                self.epoch,
                self.push_number,
                self.requested_mark,
                documents,
                dict(self.withhold_changes),
                dict(self.levels),
            )
            # Every message carries the levels of all classes and the mark, each of which counts as a line.
            lines = self.ordered_lines + len(self.levels) + 1
            self.mark_sent_us[self.requested_mark] = now
            if len(self.mark_sent_us) > 4096:
                del self.mark_sent_us[next(iter(self.mark_sent_us))]
            proxies = [self.setup.proxies[index].name for index in sorted(self.joined_proxies)]
            self.effects.append(("send", proxies, lines, push))
        elif tables:
            self.effects.append(("read", [table.slice for table in tables]))
        self.changed_slices = set()

    # Orders of the policy (`interface.Orders`).

    def set_weight(self, table, worker, weight):
        """Set the weight of a worker in the table of a slice; 0 removes the line."""
        if table not in self.tables or table in self.transferring:
            self.suppressed_slices.add(table)
            return  # the slice belongs to another manager, or is being transferred to one
        self.ordered_lines += 1
        if weight > 0:
            self.tables[table][worker] = weight
        else:
            self.tables[table].pop(worker, None)
        self.changed_slices.add(table)

    def clear_table(self, table):
        """Remove all lines from a table."""
        if table in self.tables:
            self.ordered_lines += 1
            self.tables[table] = {}
            self.changed_slices.add(table)

    def set_withheld(self, worker, is_withheld):
        """Start or stop withholding a worker from all tables."""
        self.ordered_lines += 1
        self.withhold_changes[self.worker_records[worker].name] = is_withheld
        (self.withheld.add if is_withheld else self.withheld.discard)(worker)

    def set_level(self, table, classes, amount, retry):
        """Set the admission level and the retry policy of the classes in the bit mask, of all classes if it is 0."""
        if table != ALL_TABLES:
            self.unsupported += 1  # the policy sets no levels for single tables, and the files cannot express them
            return
        for name, index in self.class_indices.items():
            if not classes or classes >> index & 1:
                self.levels[name] = (float(amount), RETRY_NAMES[RetryPolicy(retry)])

    def send_mark(self, number, all_proxies):
        """Request a numbered barrier that the proxies acknowledge; it is sent at the end of the round."""
        self.requested_mark = number

    def probe(self, worker):
        """Probe a worker, if its address is known."""
        record = self.worker_records[worker]
        if record.host:
            self.effects.append(("probe", record.name, record.host, record.port))

    def schedule_wake(self, after_us, token):
        """Request a call of `timer_fired` after this time."""
        self.effects.append(("wake", self.now + after_us))

    def timer_fired(self, token=0):
        """Report to the policy that the time of a "wake" effect has come."""
        self.pending_events.append(("alarm_fired", token))

    def log(self, text):
        """Write a text to the log."""
        self.effects.append(("log", text))

    def bind_proxy(self, proxy, table, classes):
        """Unsupported; counted."""
        self.unsupported += 1  # every proxy uses the tables of all slices

    def send_to_manager(self, manager, text):
        """Unsupported; counted."""
        self.unsupported += 1  # managers exchange no texts in this deployment

    def follow_list(self, enabled):
        pass  # the worker list is always followed

    def fetch_list(self):
        pass  # the worker list is always followed


__all__ = ["ManagerCore", "ProbeOutcome"]
