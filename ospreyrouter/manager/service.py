"""The manager process: runs `ManagerCore` on an event loop with sockets, files and timers.

    service = ManagerService(loop, setup, "manager-0", store_folder, calls, log, seed)

The service maintains the lease and the custody of slices, runs decision rounds, answers HTTP requests and applies the
effects of the core in their order. It applies none while its own lease has expired: a process that was paused first
renews its lease and reads from the store which manager owns which slices.

Store access is done by `calls` (a helper process), in order and off the loop. Pushes do not wait for it: if a manager
fails before a table is stored, its successor publishes the older table of the store with a newer fence, and all proxies
return to that one.
"""

import errno
import os
from collections import Counter

from ..balancers import SaspFront
from ..custody import Custody
from ..intake import Intake
from ..policy import Manager
from ..store import TableStore, read_worker_list
from ..store.tables import wall_clock_us
from ..versions import VersionHistory
from ..web import Server
from ..xds.documents import InvalidDocument, parse_json, require_field, to_json
from .background import Background
from .callers import PATHS, Callers
from .changes import Changes
from .core import ManagerCore
from .hints import Hints
from .operators import Operators
from .probes import Probes
from .proxies import Proxies
from .sites import sites_report
from .table_writes import TableWrites
from .worker_list import WorkerListFollower

ROUND_DELAY_US = 5_000  # events within this time are passed to the policy in one round
SITES_INTERVAL_US = 250_000  # between evaluations of the sites
TAKEOVER_CONFIRM_DELAY_US = 10_000  # between reading a takeover in the store and the check that confirms it
JSON_HEADER = ("content-type", "application/json")


class ManagerService:
    """One running manager; see the module docstring. It starts to work when it is constructed.

    `calls` runs store access in a helper process, `wall_clock` returns the time of day in microseconds.
    """

    def __init__(
        self, loop, setup, name, folder, store_calls, log, seed, policy_class=Manager, wall_clock=wall_clock_us
    ):
        self.loop, self.setup, self.name, self.log = loop, setup, name, log
        manager_names = [spec.name for spec in setup.managers]
        self.manager_index, self.counts = manager_names.index(name), Counter()
        self.core = ManagerCore(setup, self.manager_index, seed, policy_class)
        self.lease_us = round(setup.custody.lease_s * 1e6)
        self.custody = Custody(self.manager_index, len(manager_names), setup.slices, self.lease_us, setup.custody.drift)
        self.folder, self.manager_names, self.calls = folder, manager_names, store_calls
        self.incarnation, self.heartbeats = f"{os.getpid()}-{os.urandom(4).hex()}", 0
        self.orders_error, self.held_out_sites = "", ()
        self.expiry_check_due_us, self.logged_bounds = None, {}
        self.renewing_lease = self.checking_store = self.proposing = self.store_in_use = False
        retention = setup.history
        self.table_store = TableStore(
            folder,
            name,
            store_calls,
            self._log_opened,
            history=VersionHistory(retention.keep_count, round(retention.keep_s * 1e6)),
            wall_clock=wall_clock,
            monotonic_clock=loop.now,
        )
        for damage in self.table_store.damage_reports:
            self.log.error("store_damaged", manager=name, detail=damage)
        self.writes = TableWrites(self.table_store, self.counts, log, name)
        reports = setup.reports
        self.intake = Intake(
            loop, self.core.digest, log, name, round(reports.interval_s * 1e6), round(reports.waiting_mb * 1e6)
        )
        self.intake.on_reports = self.schedule_round
        self.changes = Changes(loop, folder, name, store_calls, log)
        self.operators, self.callers, self.background = Operators(self), Callers(self), Background(self)
        self.hints = Hints(self)
        self.proxies, self.worker_list, self.probes = Proxies(self), WorkerListFollower(self), Probes(self)
        self.round_scheduled = False
        self.stopped, self.front_epoch = False, 0
        self.front = None
        sasp = setup.managers[self.manager_index].sasp
        if sasp is not None:
            self.front = SaspFront(
                loop,
                sasp.pair,
                setup.slices,
                log,
                name,
                self.changes,
                round(setup.rules.drain_grace_s * 1e6),
                lambda: self.custody.may_publish(loop.now()),
            )
        self.changes.open(lambda: self.stopped)
        cached = read_worker_list(folder, name)
        if cached is not None:
            self.worker_list.use(cached, cached=True)
        place = setup.managers[self.manager_index]
        self.server = Server(
            loop, place.listen.pair, self._handle_request, self.counts, max_buffered=place.request_bytes
        )
        self.address = self.server.address
        self._maintain_custody()
        self._monitor_sites()
        self.worker_list.follow()

    failed = None  # reason why the manager cannot run, if that is found only after its start

    def _log_opened(self, cut, error):
        """Called when the table store is open; `cut` is the number of bytes cut from a torn end of the log."""
        if error is not None:
            self.log.error("store_refused", manager=self.name, reason=error.strerror, tables=0)
            if error.errno == errno.EBUSY:
                self.store_in_use = True  # by another process, which publishes: this one must not write
                self.failed = error.strerror
                self.close()
                self.loop.stop()
        elif cut:
            self.log.warning("store_tail_cut", manager=self.name, bytes=cut)

    # Custody: which manager owns which slices, according to the store.

    def _maintain_custody(self):
        """Renew the lease, check the store and propose epochs, four times per lease."""
        if self.stopped:
            return
        self.loop.after(self.lease_us // 4, self._maintain_custody)
        self._renew_lease()
        self.check_store()
        self._propose_if_due()
        if self.writes.unsaved:
            self.writes.save([])

    def _propose_if_due(self):
        proposal = None if self.proposing or self.stopped else self.custody.propose_epoch(self.loop.now())
        if proposal is not None:
            self._write_proposal(proposal)

    def _renew_lease(self):
        """Write the next heartbeat."""
        if self.renewing_lease or self.store_in_use:
            return  # a heartbeat is still being written: another one would only queue behind it
        self.renewing_lease, began_us, self.heartbeats = True, self.loop.now(), self.heartbeats + 1

        def done(_, error):
            self.renewing_lease = False
            if error is None:
                # The lease starts before the write began, as other managers count from when they see the heartbeat.
                self.custody.heartbeat_written(began_us, self.loop.now())
            else:
                self.counts["lease not renewed"] += 1
                self.log.error("lease_not_renewed", manager=self.name, reason=error.strerror)

        self.calls.submit(
            "write_heartbeat",
            (self.folder, self.manager_index, self.manager_names, self.incarnation, self.heartbeats),
            done,
        )

    def check_store(self, on_checked=None):
        """Read heartbeats, the newest epoch and operators' orders from the store; `on_checked()` follows a success."""
        if self.checking_store:
            return
        self.checking_store, began_us = True, self.loop.now()
        known_epoch = self.custody.epoch.number if self.custody.epoch else 0

        def done(result, error):
            self.checking_store = False
            if self.stopped:
                return
            if error is not None:
                self.log.error("store_unreadable", manager=self.name, reason=error.strerror)
                return
            for manager, heartbeat in result[0].items():
                self.custody.heartbeat_seen(began_us, self.loop.now(), manager, heartbeat)
            if result[2] is not None:
                self.custody.set_held_out(self.manager_names.index(name) for name in result[2].managers)
                self.held_out_sites = result[2].sites
            elif result[3] != self.orders_error:
                self.log.error("orders_refused", manager=self.name, reason=result[3])  # the last valid ones stay
            self.orders_error = result[3]
            self.custody.epoch_seen(result[1], self.loop.now())
            self.custody.check_completed(began_us, self.loop.now())
            self._apply_custody()
            due_us = self.custody.membership.next_expiry(self.loop.now())
            if (
                due_us is not None
                and due_us - self.loop.now() < self.lease_us // 4
                and self.expiry_check_due_us != due_us
            ):
                self.expiry_check_due_us = due_us
                self.loop.at(due_us + 1, self._check_expired_lease)
            if self.custody.pending_takeovers:
                # Slices taken over from a dead manager are published after one more check.
                self.loop.after(TAKEOVER_CONFIRM_DELAY_US, self.check_store)
            if on_checked is not None:
                on_checked()

        self.calls.submit(
            "read_state", (self.folder, self.manager_index, self.manager_names, known_epoch, self.setup.zones), done
        )

    def _check_expired_lease(self):
        """Check at once when the lease of another manager expires, rather than at the next regular check."""
        if not self.stopped:
            self.check_store(on_checked=self._propose_if_due)

    def _write_proposal(self, epoch):
        """Stop publishing the slices that the epoch gives up, and create the epoch in the store."""
        # Slices that are given up are published no more from here on, whether or not the epoch can be created.
        given_up = self.custody.releasing
        self.core.set_transferring(given_up)
        self.proposing = True

        def done(created, error):
            self.proposing = False
            if error is not None:
                # The epoch may be in the store all the same. The slices stay unpublished until a check has shown it.
                self.custody.epoch_write_uncertain(self.loop.now())
                self.log.error("custody_not_written", manager=self.name, reason=error.strerror)
                self.check_store()
            elif created:
                self.custody.epoch_written(epoch, self.loop.now())
                self.log.info("custody_proposed", manager=self.name, epoch=epoch.number, given_away=len(given_up))
                self.hints.announce_epoch(epoch.number)
                self._apply_custody()
                self.check_store()
            else:
                self.loop.after(self.custody.epoch_refused(), self._propose_if_due)
                self.core.set_transferring(())
                self.check_store()

        self.calls.submit("create_epoch", (self.folder, self.manager_index, self.manager_names, epoch), done)

    def _apply_custody(self):
        """Pass newly owned and lost slices to the core."""
        epoch, owned = self.custody.epoch, self.custody.slices_in_charge()
        if self.core.transferring and not self.custody.releasing and not self.proposing:
            self.core.set_transferring(())  # the doubtful epoch does not exist: the slices stay here
        if epoch is None or epoch.number == self.core.epoch and owned == self.core.fences:
            return
        try:
            self.table_store.refresh()
        except OSError as error:
            self.log.error("store_unreadable", manager=self.name, reason=error.strerror)
        slices_before = len(self.core.tables)
        self.core.take_custody(
            epoch.number,
            owned,
            self.table_store.newest
            | {slice_index: table for slice_index, table in self.writes.unsaved.items() if slice_index in owned},
        )
        self.core.transferring = self.custody.releasing
        self.log.info("custody", manager=self.name, epoch=epoch.number, slices=len(owned), before=slices_before)
        self.schedule_round()

    def _monitor_sites(self):
        """Evaluate the sites and log changes of their states and of the level bounds."""
        if self.stopped:
            return
        self.loop.after(SITES_INTERVAL_US, self._monitor_sites)
        pending_before = len(self.core.pending_events)
        for site, old, new, reason in self.core.evaluate_sites(self.loop.now(), self.held_out_sites):
            log = self.log.warning if new in ("doubtful", "lost") else self.log.info
            log(f"site_{new}", manager=self.name, site=site, was=old, why=reason)
        bounds = {kind: round(level, 2) for kind, level in self.core.spill.admission_limits.items() if level < 1.0}
        if bounds != self.logged_bounds:
            self.logged_bounds = bounds
            if bounds:
                self.log.warning("levels_bounded", manager=self.name, most=bounds)
            else:
                self.log.info("levels_free", manager=self.name)
        if len(self.core.pending_events) > pending_before or self.core.effects:
            self.schedule_round()

    # Decision rounds.

    def schedule_round(self):
        """Run a decision round after `ROUND_DELAY_US`, unless one is scheduled."""
        if not self.round_scheduled and not self.stopped:
            self.round_scheduled = True
            self.loop.after(ROUND_DELAY_US, self._run_round)

    def _run_round(self):
        self.round_scheduled = False
        if self.stopped:
            return
        if not self.custody.may_publish(self.loop.now()):
            # The process was paused, or its heartbeats cannot be written. Nothing is published until they are.
            self.counts["turns without lease"] += 1
            self._renew_lease()
            self.check_store()
            if not self.custody.may_publish(self.loop.now()):
                self.loop.after(self.lease_us // 8, self.schedule_round)
                if self.cannot_keep_drains():
                    # Without a lease withdrawals cannot be published either. The proxies are disconnected, keep
                    # the tables that they hold and know that they have no manager.
                    self.proxies.drop_all("no lease, and a drain cannot be kept")
                return
        self._apply_effects(self.core.run_round(self.loop.now()))

    def cannot_keep_drains(self):
        """Whether the lease has expired while a drain has used up half of its grace."""
        grace_us = self.core.parameters.drain_grace_us
        return not self.custody.may_publish(self.loop.now()) and self.core.has_overdue_drains(
            self.loop.now(), grace_us // 2
        )

    def _apply_effects(self, effects):
        if self.front is not None:
            self._update_front(effects)
        for kind, *values in effects:
            if kind == "store":
                self.writes.save(values[0])
            elif kind == "send":
                self.proxies.send(*values)
            elif kind == "read":
                self.proxies.request_read(values[0])
            elif kind == "probe":
                self.probes.probe(*values)
            elif kind == "wake":
                self.loop.at(values[0], self._timer_fired)
            elif kind == "log":
                self.log.info("module", manager=self.name, text=values[0])

    def _timer_fired(self):
        self.core.timer_fired()
        self.schedule_round()

    # The SASP front, which passes published tables to balancers.

    def _update_front(self, effects):
        """Pass changes among the effects to the SASP front."""
        core, slices, changed_workers = self.core, set(), set()
        for kind, *values in effects:
            if kind == "store":
                slices |= {table.slice for table in values[0]}
            elif kind == "read":
                slices |= set(values[0])
            elif kind == "send":
                changed_workers |= set(values[2].withheld)
        for slice_index in self.front.owned - core.tables.keys():
            self.front.release_slice(slice_index)
        if self.changes.ready and core.epoch != self.front_epoch:
            self.front_epoch = core.epoch
            self.front.release_slices_except(core.tables.keys())
        if changed_workers:
            slices |= {
                slice_index
                for slice_index, table in core.published_tables.items()
                if any(line.worker in changed_workers for line in table.lines)
            }
        withheld = {(core.worker_records[index].host, core.worker_records[index].port) for index in core.withheld}
        for slice_index in sorted(slices & core.published_tables.keys() & core.tables.keys()):
            self.front.publish(
                slice_index,
                {(line.host, line.port): line.weight for line in core.published_tables[slice_index].lines},
                withheld,
            )

    # HTTP requests.

    def _handle_request(self, request):
        if self.stopped:
            request.respond(503, [("retry-after", "1")])
            return
        if request.path == "/v3/load_stats" and request.method == "POST":
            self.intake.post(request)
            return
        if request.path == "/v3/rollback" and request.method == "POST":
            self.operators.roll_back(request)
            return
        if request.path == "/v3/hints":
            self.hints.handle_hint(request)
            return
        if request.path.partition("?")[0] in PATHS:
            self.callers.handle(request)
            return
        if request.path == "/v3/sites" and request.method == "GET":
            request.respond(200, [JSON_HEADER], to_json(sites_report(self.core, self.loop.now())))
            return
        if request.path == "/v3/estimates" and request.method == "GET":
            self._answer_estimates(request)
            return
        routes = {
            "/v3/delta_discovery:endpoints": self.proxies.handle_read,
            "/v3/discovery:endpoints": self.proxies.handle_acknowledgement,
        }
        handler = routes.get(request.path)
        if request.method != "POST" or handler is None:
            self.counts["unknown request"] += 1
            request.respond(404)
            return
        try:
            data = parse_json(request.body, "request")
            proxy = require_field(require_field(data, "node", dict, "request"), "id", str, "request.node")
            if proxy not in self.core.proxy_indices:
                raise InvalidDocument(f"request.node.id: {proxy!r:.60} is not in the deployment")
            handler(request, proxy, data)
        except InvalidDocument as error:
            self.counts["malformed request"] += 1
            self.log.warning("request_refused", manager=self.name, detail=str(error))
            request.respond(400, [("connection", "close")], str(error).encode())
            request.connection.close()

    def _answer_estimates(self, request):
        """Answer `GET /v3/estimates` with the estimates by worker and the state of the report intake."""
        now, digest = self.loop.now(), self.core.digest
        workers = {
            name: {
                "rate": estimate.rate,
                "lost": estimate.lost,
                "delay_us": estimate.delay_us,
                "age_us": estimate.age_us,
                "tries": estimate.tries,
                "spread": estimate.spread,
                "confidence": estimate.confidence,
                "contradiction": estimate.contradiction,
                "delay_p99_us": digest.delay_quantile(name, 0.99),
            }
            for name, estimate in digest.estimates(now).items()
        }
        pressure, reporters = self.intake.pressure, digest.reporters
        request.respond(
            200,
            [JSON_HEADER],
            to_json(
                {
                    "now_us": now,
                    "settled_us": digest.settled_us(),
                    "workers": workers,
                    "intake": self.intake.figures(),
                    "pressure": {
                        "step": pressure.step.name.lower(),
                        "sample": pressure.sample,
                        "interval_us": pressure.interval_us,
                        "waiting_bytes": self.intake.queue.bytes,
                    },
                    "reporters": {
                        "known": len(reporters.states),
                        "silent": reporters.silent(now, 4 * pressure.interval_us),
                        "stuck": reporters.stuck(),
                    },
                }
            ),
        )

    # Counters and shutdown.

    def figures(self):
        """All counters, for the last log line and for measurements."""
        return {
            **self.proxies.figures(),
            **self.counts,
            **self.changes.figures(),
            "reports": self.intake.figures(),
            "background": self.background.figures(),
        }

    def drain(self, on_done):
        """Stop after all open requests are answered, also those that wait for a change to be stored.

        `on_done()` is called at the end.
        """
        if self.stopped:
            return
        self._leave_fleet()

        def answered():
            if self.front is not None:
                self.front.close()
            self.calls.close()
            on_done()

        self.server.drain(answered)

    def close(self):
        """Stop at once, without answering open requests."""
        if self.stopped:
            return
        self._leave_fleet()
        if self.front is not None:
            self.front.close()
        self.server.close()
        self.calls.close()

    def _leave_fleet(self):
        """Propose an epoch that gives all slices to the other managers, and disconnect the proxies."""
        epoch = self.custody.handoff_epoch(self.loop.now())
        if epoch is not None:
            self._write_proposal(epoch)
        self.stopped = True
        self.proxies.drop_all("stopped")
        self.intake.close()
        self.hints.close()
