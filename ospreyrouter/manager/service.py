"""The manager's sockets and files round `ManagerCore`: proxies, the worker list, probes, the store, the clock.

    service = ManagerService(loop, setup, "manager-0", store_folder, calls, log, seed)

Effects are carried out in their order, and none while the own lease has run out: a process that stood still renews
it and reads who is in charge first. Disk work is done by `calls` (the helper), in order and off the loop; pushes do
not wait for it: a successor that finds an older table in the store has the newer fence, so all return to that one.
"""

import errno
import os
from collections import Counter, deque

import zstandard

from ..balancers import SaspFront
from ..channel import PacedChannel
from ..custody import Custody
from ..files.reader import fences_text
from ..intake import Intake
from ..interface import Outcome
from ..loop import LOCAL_ERRORS
from ..policy import Manager
from ..store import TableStore, list_path, read_list
from ..store.tables import wall_us
from ..versions import History
from ..web import Client, Server, content_digest
from ..xds.documents import CLA, BadDocument, Rendered, claim_text, dump, load, need, push_body
from ..xds.reports import ORCA_HEADER, orca_report
from ..xds.worker_list import NAME, list_of
from .admission import ReadBudget
from .background import Background
from .callers import PATHS, Callers
from .changes import Changes
from .core import ManagerCore
from .hints import Hints
from .operators import Operators
from .sites import sites_as_seen

TURN_US = 5_000  # what happens within so long is told to the module in one round
PUT_US = 3_000_000  # a proxy that has not answered a push for so long has lost this manager
ACK_US = 5_000_000  # what a joining proxy may take to say that it has read the store
REDIAL_US = 200_000
SITES_US = 250_000
CONFIRM_US = 10_000  # between learning of a takeover and the look that confirms it
COMPRESS_FROM = 512  # bytes of a push from which it is compressed: changes shrink to a half, whole tables to a third
JSON = ("content-type", "application/json")


class Session:
    """One joined proxy: the connection it joined by, and the one by which tables are pushed to it."""

    def __init__(self, proxy, connection, nonce, address):
        self.proxy, self.connection, self.nonce, self.address = proxy, connection, nonce, address
        self.client, self.tag, self.outbox, self.busy, self.ready = None, 0, deque(), False, False
        self.audited = False


class ManagerService:
    """See the top of this module."""

    def __init__(self, loop, setup, name, folder, calls, log, seed, module=Manager, wall=wall_us):
        self.loop, self.setup, self.name, self.log = loop, setup, name, log
        names = [row.name for row in setup.managers]
        self.me, self.counts = names.index(name), Counter()
        self.core = ManagerCore(setup, self.me, seed, module)
        channel = setup.channel
        self.channel = PacedChannel(
            channel.lines_per_s,
            channel.message_head,
            channel.queue_lines,
            channel.messages_most,
            round(channel.messages_over_s * 1e6),
        )
        self.reads = ReadBudget(channel.read_lines_per_s)
        self.lease_us = round(setup.custody.lease_s * 1e6)
        self.custody = Custody(self.me, len(names), setup.slices, self.lease_us, setup.custody.drift)
        self.folder, self.names, self.calls = folder, names, calls
        self.life, self.beats = f"{os.getpid()}-{os.urandom(4).hex()}", 0
        self.orders_problem, self.sites_out = "", ()
        self.look_due, self.bounds_said = None, {}
        self.beating = self.looking = self.proposing = self.held_by_another = False
        kept = setup.history
        self.tables = TableStore(
            folder,
            name,
            calls,
            self._log_opened,
            history=History(kept.keep_count, round(kept.keep_s * 1e6)),
            wall=wall,
            steady=loop.now,
        )
        for problem in self.tables.damaged:
            self.log.error("store_damaged", manager=name, detail=problem)
        self.rendered, self.compressor = Rendered(), zstandard.ZstdCompressor(level=3)
        self.unsaved, self.saving, self.behind, self.causes, self.savers = {}, False, False, {}, []
        reports = setup.reports
        self.intake = Intake(
            loop, self.core.digest, log, name, round(reports.interval_s * 1e6), round(reports.waiting_mb * 1e6)
        )
        self.intake.on_fed = self._soon
        self.changes = Changes(loop, folder, name, calls, log)
        self.operators, self.callers, self.background = Operators(self), Callers(self), Background(self)
        self.hints = Hints(self)
        self.sessions, self.joins, self.turn_due, self.channel_timer = {}, 0, False, None
        self.list_version, self.list_client, self.probing = "", None, {}
        self.stopped, self.settled_epoch = False, 0
        self.front = None
        sasp = setup.managers[self.me].sasp
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
        cached = read_list(folder, name)
        if cached is not None:
            self._use_list(cached, cached=True)
        self.server = Server(loop, setup.managers[self.me].listen.pair, self._request, self.counts)
        self.address = self.server.address
        self._mind_custody()
        self._mind_sites()
        self._follow_list()

    failed = None  # why it cannot run at all, where that shows only after the start

    def _log_opened(self, cut, problem):
        if problem is not None:
            self.log.error("store_refused", manager=self.name, reason=problem.strerror, tables=0)
            if problem.errno == errno.EBUSY:
                self.held_by_another = True  # it writes nothing and publishes nothing: the other one does
                self.failed = problem.strerror
                self.close()
                self.loop.stop()
        elif cut:
            self.log.warning("store_tail_cut", manager=self.name, bytes=cut)

    # Custody: who is in charge, as the store has it.

    def _mind_custody(self):
        if self.stopped:
            return
        self.loop.after(self.lease_us // 4, self._mind_custody)
        self._renew()
        self._look()
        self._propose_again()
        if self.unsaved:
            self._save([])

    def _propose_again(self):
        proposal = None if self.proposing or self.stopped else self.custody.proposal(self.loop.now())
        if proposal is not None:
            self._propose(proposal)

    def _renew(self):
        if self.beating or self.held_by_another:
            return  # the store has not taken the last one: it is late, and another would only queue behind
        self.beating, began, self.beats = True, self.loop.now(), self.beats + 1

        def done(_, problem):
            self.beating = False
            if problem is None:
                # The lease runs from before the sign was written: others count from when they see it.
                self.custody.beat_written(began, self.loop.now())
            else:
                self.counts["lease not renewed"] += 1
                self.log.error("lease_not_renewed", manager=self.name, reason=problem.strerror)

        self.calls.ask("beat", (self.folder, self.me, self.names, self.life, self.beats), done)

    def _look(self, then=None):
        """`then` is called after a look that went well."""
        if self.looking:
            return
        self.looking, began = True, self.loop.now()
        known = self.custody.epoch.number if self.custody.epoch else 0

        def done(found, problem):
            self.looking = False
            if self.stopped:
                return
            if problem is not None:
                self.log.error("store_unreadable", manager=self.name, reason=problem.strerror)
                return
            for manager, beat in found[0].items():
                self.custody.beat_seen(began, self.loop.now(), manager, beat)
            if found[2] is not None:
                self.custody.orders_seen(self.names.index(name) for name in found[2].managers)
                self.sites_out = found[2].sites
            elif found[3] != self.orders_problem:
                self.log.error("orders_refused", manager=self.name, reason=found[3])  # the last good ones hold
            self.orders_problem = found[3]
            self.custody.epoch_seen(found[1], self.loop.now())
            self.custody.looked(began, self.loop.now())
            self._take_custody()
            due = self.custody.members.due(self.loop.now())
            if due is not None and due - self.loop.now() < self.lease_us // 4 and self.look_due != due:
                self.look_due = due
                self.loop.at(due + 1, self._look_at_death)
            if self.custody.waits:
                self.loop.after(CONFIRM_US, self._look)  # taken from the dead: one look more, and it is published
            if then is not None:
                then()

        self.calls.ask("look", (self.folder, self.me, self.names, known, self.setup.zones), done)

    def _look_at_death(self):
        """Somebody's patience has just ended, unless the sign has changed: not a quarter of a lease later."""
        if not self.stopped:
            self._look(then=self._propose_again)

    def _propose(self, epoch):
        # What is given away is published no more from here on, whether or not the number can be had.
        giving = self.custody.giving
        self.core.give(giving)
        self.proposing = True

        def done(written, problem):
            self.proposing = False
            if problem is not None:
                # It may be in the store all the same: what it gives is published again when a look has told.
                self.custody.doubtful(self.loop.now())
                self.log.error("custody_not_written", manager=self.name, reason=problem.strerror)
                self._look()
            elif written:
                self.custody.wrote(epoch, self.loop.now())
                self.log.info("custody_proposed", manager=self.name, epoch=epoch.number, given_away=len(giving))
                self.hints.tell(epoch.number)
                self._take_custody()
                self._look()
            else:
                self.loop.after(self.custody.refused(), self._propose_again)
                self.core.give(())
                self._look()

        self.calls.ask("create_epoch", (self.folder, self.me, self.names, epoch), done)

    def _take_custody(self):
        epoch, mine = self.custody.epoch, self.custody.mine()
        if self.core.giving and not self.custody.giving and not self.proposing:
            self.core.give(())  # the doubt is over, and they stay
        if epoch is None or epoch.number == self.core.epoch and mine == self.core.fences:
            return
        try:
            self.tables.refresh()
        except OSError as problem:
            self.log.error("store_unreadable", manager=self.name, reason=problem.strerror)
        before = len(self.core.tables)
        self.core.custody(
            epoch.number,
            mine,
            self.tables.newest | {item: table for item, table in self.unsaved.items() if item in mine},
        )
        self.core.giving = self.custody.giving
        self.log.info("custody", manager=self.name, epoch=epoch.number, slices=len(mine), before=before)
        self._soon()

    def _mind_sites(self):
        if self.stopped:
            return
        self.loop.after(SITES_US, self._mind_sites)
        intake = len(self.core.intake)
        for site, old, new, why in self.core.see_sites(self.loop.now(), self.sites_out):
            log = self.log.warning if new in ("doubtful", "lost") else self.log.info
            log(f"site_{new}", manager=self.name, site=site, was=old, why=why)
        most = {kind: round(level, 2) for kind, level in self.core.spill.most.items() if level < 1.0}
        if most != self.bounds_said:
            self.bounds_said = most
            if most:
                self.log.warning("levels_bounded", manager=self.name, most=most)
            else:
                self.log.info("levels_free", manager=self.name)
        if len(self.core.intake) > intake or self.core.effects:
            self._soon()

    # The module's turns.

    def _soon(self):
        if not self.turn_due and not self.stopped:
            self.turn_due = True
            self.loop.after(TURN_US, self._turn)

    def _turn(self):
        self.turn_due = False
        if self.stopped:
            return
        if not self.custody.may_publish(self.loop.now()):
            # It stood still, or the store does not take its signs of life: nothing is said until it does.
            self.counts["turns without lease"] += 1
            self._renew()
            self._look()
            if not self.custody.may_publish(self.loop.now()):
                self.loop.after(self.lease_us // 8, self._soon)
                if self._cannot_keep_drains():
                    # It may write nothing, also no withdrawal: proxies are told that they have no manager, and keep
                    # what they hold.
                    for proxy in list(self.sessions):
                        self._drop(proxy, "no lease, and a drain cannot be kept")
                return
        self._carry_out(self.core.turn(self.loop.now()))

    def _cannot_keep_drains(self):
        grace_us = self.core.facts.grace_us
        return not self.custody.may_publish(self.loop.now()) and self.core.unkept(self.loop.now(), grace_us // 2)

    def _carry_out(self, effects):
        if self.front is not None:
            self._advise(effects)
        for kind, *values in effects:
            if kind == "store":
                self._save(values[0])
            elif kind == "send":
                self._send(*values)
            elif kind == "read":
                self._tell_to_read(values[0])
            elif kind == "probe":
                self._probe(*values)
            elif kind == "wake":
                self.loop.at(values[0], self._woke)
            elif kind == "said":
                self.log.info("module", manager=self.name, text=values[0])

    def _woke(self):
        self.core.woke()
        self._soon()

    def _save(self, tables, cause="", then=None):
        """Into the store. A store that refuses does not stop drains: what it lacks is kept and tried again.
        `then(stored)` is called when these tables, or what came after them, are in the store or were refused."""
        if then is not None:
            self.savers.append((tables, then))
        self.causes.update((table.slice, cause) for table in tables)
        self.unsaved.update((table.slice, table) for table in tables)
        if self.saving or not self.unsaved:
            return
        self.saving, rows = True, dict(self.unsaved)

        def done(problem):
            self.saving = False
            if problem is not None:
                self.counts["store refused"] += 1
                if not self.behind:
                    self.log.error("store_refused", manager=self.name, reason=problem.strerror, tables=len(rows))
                self.behind = True
                savers, self.savers = self.savers, []
                for _, then in savers:
                    then(False)
                return
            self.unsaved = {item: table for item, table in self.unsaved.items() if rows.get(item) is not table}
            if self.behind:
                self.behind = False
                self.log.info("store_caught_up", manager=self.name)
            waiting = [row for row in self.savers if any(self.unsaved.get(table.slice) is table for table in row[0])]
            ended, self.savers = [row for row in self.savers if row not in waiting], waiting
            for _, then in ended:
                then(True)
            self._save([])

        # One write for each cause; the last one's end is the end of all, as they are done in order.
        causes = sorted({self.causes.get(item, "") for item in rows})
        for place, cause in enumerate(causes):
            some = [table for item, table in rows.items() if self.causes.get(item, "") == cause]
            self.tables.append(some, done if place + 1 == len(causes) else lambda problem: None, cause)

    # The second front: what is published, told to balancers too.

    def _advise(self, effects):
        core, items, changed = self.core, set(), set()
        for kind, *values in effects:
            if kind == "store":
                items |= {table.slice for table in values[0]}
            elif kind == "read":
                items |= set(values[0])
            elif kind == "send":
                changed |= set(values[2].withheld)
        for item in self.front.owned - core.tables.keys():
            self.front.give_up(item)
        if self.changes.ready and core.epoch != self.settled_epoch:
            self.settled_epoch = core.epoch
            self.front.settled(core.tables.keys())
        if changed:
            items |= {
                item for item, table in core.written.items() if any(line.worker in changed for line in table.lines)
            }
        withheld = {(core.rows[place].host, core.rows[place].port) for place in core.withheld}
        for item in sorted(items & core.written.keys() & core.tables.keys()):
            self.front.publish(
                item, {(line.host, line.port): line.weight for line in core.written[item].lines}, withheld
            )

    # The channel to proxies.

    def _send(self, proxies, lines, push):
        now, body, headers = self.loop.now(), push_body(push), [JSON]
        if len(body) > COMPRESS_FROM:
            # Once for all proxies; Content-Digest is of the content as it is coded (RFC 9530).
            body, headers = self.compressor.compress(body), [JSON, ("content-encoding", "zstd")]
        content = (push, body, [*headers, ("content-digest", content_digest(body))])
        for proxy in self.channel.order(now, proxies, lines, content):
            self._drop(proxy, "no room in the channel")
        self._pump()

    def _pump(self):
        now = self.loop.now()
        for proxy, row in self.channel.due(now):
            session = self.sessions.get(proxy)
            if session is not None:
                session.outbox.append(row)
                self._write(session)
        upcoming = self.channel.next_at(now)
        if upcoming is not None and (self.channel_timer is None or self.channel_timer.callback is None):
            self.channel_timer = self.loop.at(max(upcoming, now + 500), self._pump)

    def _write(self, session):
        """The next message, once the proxy has answered the one before it."""
        if session.busy or not session.ready or not session.outbox:
            return
        row = session.outbox.popleft()
        push, body, headers = row.content
        session.busy = True
        headers = [
            *headers,
            ("if-match", f'"{session.nonce}.{session.tag}"'),
            ("x-ordered-us", str(row.ordered_us)),
            ("x-lines", str(row.lines)),
        ]
        session.client.ask(
            "PUT", f"/v3/tables/{self.name}", headers, body, lambda answer: self._pushed(session, push, answer), PUT_US
        )
        self.channel.taken(session.proxy, row)
        self.counts["pushes"] += 1
        self.counts["bytes pushed"] += len(body)

    def _pushed(self, session, push, answer):
        session.busy = False
        if self.sessions.get(session.proxy) is not session:
            return
        if answer.status == 204:
            session.tag = push.number
            self._write(session)
            return
        if answer.status == 409:
            self._look()  # another has its slices: the store says who
        self.log.warning(
            "push_not_taken",
            manager=self.name,
            proxy=session.proxy,
            status=answer.status,
            reason=answer.reason or answer.body[:100].decode("latin-1"),
        )
        self._drop(session.proxy, f"answered {answer.status}")

    def _tell_to_read(self, items, only=None):
        body = dump({"fence": self.core.epoch, "slices": items})
        headers = [JSON, ("content-digest", content_digest(body))]
        for session in list(self.sessions.values()) if only is None else [only]:
            if session.ready:
                session.client.ask("PUT", f"/v3/custody/{self.name}", headers, body, lambda _: None, PUT_US)

    def _drop(self, proxy, reason):
        session = self.sessions.pop(proxy, None)
        if session is None:
            return
        self.counts["proxies lost"] += 1
        self.log.info("proxy_left", manager=self.name, proxy=proxy, reason=reason)
        self.channel.broke(proxy)
        self.core.left(proxy)
        session.connection.on_closed = None
        session.connection.abort(reason)
        if session.client is not None:
            session.client.on_closed = None
            session.client.abort(reason)
        self._soon()

    # What proxies ask.

    def _request(self, request):
        if self.stopped:
            request.answer(503, [("retry-after", "1")])
            return
        if request.path == "/v3/load_stats" and request.method == "POST":
            self.intake.post(request)
            return
        if request.path == "/v3/rollback" and request.method == "POST":
            self.operators.roll_back(request)
            return
        if request.path == "/v3/hints":
            self.hints.heard(request)
            return
        if request.path.partition("?")[0] in PATHS:
            self.callers.handle(request)
            return
        if request.path == "/v3/sites" and request.method == "GET":
            request.answer(200, [JSON], dump(sites_as_seen(self.core, self.loop.now())))
            return
        if request.path == "/v3/estimates" and request.method == "GET":
            self._tell_estimates(request)
            return
        routes = {"/v3/delta_discovery:endpoints": self._read_store, "/v3/discovery:endpoints": self._answered}
        handler = routes.get(request.path)
        if request.method != "POST" or handler is None:
            self.counts["unknown request"] += 1
            request.answer(404)
            return
        try:
            data = load(request.body, "request")
            proxy = need(need(data, "node", dict, "request"), "id", str, "request.node")
            if proxy not in self.core.proxies:
                raise BadDocument(f"request.node.id: {proxy!r:.60} is not in the deployment")
            handler(request, proxy, data)
        except BadDocument as problem:
            self.counts["malformed request"] += 1
            self.log.warning("request_refused", manager=self.name, detail=str(problem))
            request.answer(400, [("connection", "close")], str(problem).encode())
            request.connection.close()

    def _read_store(self, request, proxy, data):
        held = need(data, "initialResourceVersions", dict, "request")
        session = self.sessions.get(proxy)
        if session is not None and session.connection is not request.connection:
            self._drop(proxy, "joined anew")
            session = None
        names = data.get("resourceNamesSubscribe")
        items = sorted(
            self.core.tables if names is None else {item for item in self.core.tables if f"slice-{item}" in set(names)}
        )
        tables = [
            self.core.written[item]
            for item in items
            if item in self.core.written and held.get(f"slice-{item}") != claim_text(self.core.written[item])
        ]
        lines = 1 + sum(len(table.lines) for table in tables)
        now = self.loop.now()
        if session is not None and session.audited:
            session.audited = False
            self.background.claimed(proxy, len(items), len(tables))
        if (
            session is None
            and (self.custody.epoch is None or self._cannot_keep_drains())
            or not self.reads.admit(now, lines)
        ):
            self.counts["joins put off"] += 1
            wait = self.reads.wait_us(lines) / 1e6
            close = [] if session is not None else [("connection", "close")]
            request.answer(503, [("retry-after", str(max(1, round(wait)))), *close])
            return
        nonce = session.nonce if session is not None else f"{self.life}.{self.joins}"
        fences = dict.fromkeys(items, (self.core.epoch, self.name))
        answer = {
            "systemVersionInfo": f"{self.core.epoch}.{self.core.number}",
            "typeUrl": CLA,
            "nonce": nonce,
            "resources": [
                {"name": f"slice-{table.slice}", "version": claim_text(table), "resource": self.rendered.table(table)}
                for table in tables
            ],
            "controlPlane": {"identifier": fences_text(fences)},
        }
        if session is None:
            self._join(request, proxy, data, nonce)
        request.answer(200, [JSON], dump(answer))

    def _join(self, request, proxy, data, nonce):
        about = need(data["node"], "metadata", dict, "request.node")
        address = (need(about, "host", str, "request.node"), need(about, "port", int, "request.node"))
        levels = about.get("levels", {})
        if not isinstance(levels, dict) or not all(
            type(level) in (int, float) and 0 <= level <= 1 for level in levels.values()
        ):
            raise BadDocument("request.node.metadata.levels: is no part by class")
        self.joins += 1
        session = self.sessions[proxy] = Session(proxy, request.connection, nonce, address)
        request.connection.on_closed = lambda reason: self._stream_broke(session, reason)
        self.channel.joined(proxy)
        self.core.joined(self.loop.now(), proxy, bool(about.get("fresh", False)), levels)
        self.log.info("proxy_joined", manager=self.name, proxy=proxy)
        self.loop.after(ACK_US, lambda: session.ready or self._stream_broke(session, "never read the store"))
        self._soon()

    def _stream_broke(self, session, reason):
        if self.sessions.get(session.proxy) is session:
            self._drop(session.proxy, reason)

    def _answered(self, request, proxy, data):
        session, nonce = self.sessions.get(proxy), need(data, "responseNonce", str, "request")
        request.answer(204)
        if session is None or session.connection is not request.connection:
            return
        if "errorDetail" in data:
            self.counts["sets a proxy refused"] += 1
            self.log.error("proxy_refused_set", manager=self.name, proxy=proxy, problem=str(data["errorDetail"])[:200])
        if nonce == session.nonce and not session.ready:
            session.ready = True
            session.client = Client(
                self.loop, session.address, on_closed=lambda reason: self._stream_broke(session, f"push: {reason}")
            )
            self._write(session)
        elif nonce.isdigit() and "errorDetail" not in data:
            self.core.answered(self.loop.now(), proxy, int(nonce))
            self._soon()

    def _tell_estimates(self, request):
        """For people and tools: by worker tries a second, part lost, delay, age, tries behind, spread, confidence."""
        now, digest = self.loop.now(), self.core.digest
        workers = {
            name: {
                "rate": one.rate,
                "lost": one.lost,
                "delay_us": one.delay_us,
                "age_us": one.age_us,
                "tries": one.tries,
                "spread": one.spread,
                "confidence": one.confidence,
                "contradiction": one.contradiction,
                "delay_p99_us": digest.delay_quantile(name, 0.99),
            }
            for name, one in digest.estimates(now).items()
        }
        pressure, reporters = self.intake.pressure, digest.reporters
        request.answer(
            200,
            [JSON],
            dump(
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
                        "known": len(reporters.rows),
                        "silent": reporters.silent(now, 4 * pressure.interval_us),
                        "stuck": reporters.stuck(),
                    },
                }
            ),
        )

    # The worker list, and probes.

    def _follow_list(self):
        if self.stopped:
            return
        if self.list_client is None or self.list_client.closed:
            self.list_client = Client(self.loop, self.setup.worker_list.listen.pair)
        wait = round(self.setup.worker_list.wait_s * 1e6)
        question = {
            "node": {"id": self.name},
            "versionInfo": self.list_version,
            "typeUrl": CLA,
            "resourceNames": [NAME],
        }
        self.list_client.ask("POST", "/v3/discovery:endpoints", [JSON], dump(question), self._list_answer, 2 * wait)

    def _list_answer(self, answer):
        if answer.status == 200:
            self._use_list(answer.body)
        elif answer.status != 304:
            self.counts["list questions failed"] += 1
            self.loop.after(REDIAL_US, self._follow_list)
            return
        self.loop.soon(self._follow_list)

    def _use_list(self, body, cached=False):
        try:
            version, rows = list_of(body, self.core.zones)
        except BadDocument as problem:
            self.counts["malformed list"] += 1
            self.log.error("list_refused", manager=self.name, detail=str(problem))
            return
        if not cached:
            self.list_version = version
            self.calls.ask("write_file", (list_path(self.folder, self.name), body), self._list_kept)
        self.log.info(
            "list",
            manager=self.name,
            version=version,
            workers=len(rows),
            cached=cached,
            draining=sum(row[6] == "draining" for row in rows),
        )
        self.core.listed(self.loop.now(), rows)
        if self.front is not None:
            trust = self.core.digest.estimates(self.loop.now())
            # A worker that nobody has tried yet is listed: that is contact enough until something else is known.
            self.front.list({(row[1], row[2]): trust[row[0]].confidence or 0.01 for row in rows})
        self._soon()

    def _list_kept(self, _, problem):
        if problem is not None:
            self.log.error("list_not_kept", manager=self.name, reason=problem.strerror)

    def _probe(self, worker, host, port):
        if worker in self.probing:
            return  # the last one has not ended; another would only add to its load
        began, client = self.loop.now(), Client(self.loop, (host, port), round(self.setup.probe_timeout_s * 1e6))
        self.probing[worker] = client
        self.counts["probes"] += 1

        def answered(answer):
            del self.probing[worker]
            client.close()
            if not answer.sent and answer.reason in LOCAL_ERRORS:  # it never left this machine
                self.counts["probes not sent"] += 1
                return
            self.core.probed(
                self.loop.now(),
                worker,
                outcome_of(answer),
                self.loop.now() - began,
                orca_report(answer.headers.get(ORCA_HEADER)),
            )
            self._soon()

        client.ask("GET", "/probe", [], b"", answered, round(self.setup.probe_timeout_s * 1e6))

    def figures(self):
        """What the manager counts, for its last log line and for measurements."""
        return {
            "lines_sent": self.channel.lines_sent,
            "lines_longest": self.channel.longest,
            "refused": self.channel.refused,
            "joins": self.joins,
            "reads_put_off": self.reads.put_off,
            **self.counts,
            **self.changes.figures(),
            "reports": self.intake.figures(),
            "background": self.background.figures(),
        }

    def drain(self, on_done):
        """Stop, but answer callers first, also those who wait for a change to be stored; then `on_done()`."""
        if self.stopped:
            return
        self._leave()

        def answered():
            if self.front is not None:
                self.front.close()
            self.calls.close()
            on_done()

        self.server.drain(answered)

    def close(self):
        """Stop at once."""
        if self.stopped:
            return
        self._leave()
        if self.front is not None:
            self.front.close()
        self.server.close()
        self.calls.close()

    def _leave(self):
        """Slices go to those who live, proxies are let go."""
        epoch = self.custody.farewell(self.loop.now())
        if epoch is not None:
            self._propose(epoch)
        self.stopped = True
        for proxy in list(self.sessions):
            self._drop(proxy, "stopped")
        self.intake.close()
        self.hints.close()


def outcome_of(answer):
    """How a probe ended, in the module's words."""
    if answer.status == 200:
        return Outcome.PASSED
    if answer.status == 503:
        return Outcome.FULL
    if answer.status:
        return Outcome.ERROR
    if answer.reason == "timed out":
        return Outcome.TIMED_OUT
    return Outcome.RESET if answer.sent else Outcome.UNREACHABLE
