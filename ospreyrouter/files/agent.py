"""The file agent beside a proxy: joins managers, takes pushed tables, swaps them in as files, answers.

    agent = FileAgent(loop, setup, place, disk, log, on_swap=proxy.reload, sums=proxy.sums)

Manager to agent: `PUT /v3/tables/MANAGER` (an array of DiscoveryResponses; `Content-Digest`, RFC 9530; `If-Match`
with the tag of the message before it, RFC 9110) and `PUT /v3/custody/MANAGER`. Agent to manager, on a connection
that is the stream by which it has joined: DeltaDiscoveryRequest (join, read the store), DiscoveryRequest (the
answer to a mark), LoadStatsRequest (sums). `on_swap()` tells the proxy that another set is in force; it returns
None, or why the proxy could not use it.
"""

from collections import Counter
from random import Random

from ..loop import Refused
from ..web import Client, Server, digest_matches
from ..xds.documents import (CLA, BadDocument, dump, load, need, push_of, response, routes_resource, table_of,
                             table_resource, version_of)
from ..xds.documents import ROUTES
from .ledger import Ledger, Orders, Rejected
from .reader import TableReader, fences_text, parse_fences
from .sets import FileSet

REDIAL_US = (100_000, 500_000)  # between attempts to join; drawn, so that proxies do not return in step
REDIAL_MOST_US = 4_000_000
ANSWER_US = 5_000_000  # what a manager may take to answer
BODY_MOST = 16 << 20


class Joined:
    """The stream to one manager."""

    def __init__(self):
        self.client, self.session, self.tag, self.failures, self.up = None, "", 0, 0, False


class FileAgent:
    """See the top of this module. `place` has name, zone, agent address and usual_per_s."""

    def __init__(self, loop, setup, place, folder, disk, log, on_swap=lambda: None, sums=None, seed=0):
        self.loop, self.setup, self.place, self.log, self.on_swap = loop, setup, place, log, on_swap
        self.sums, self.chance, self.counts = sums, Random(f"{place.name}/{seed}"), Counter()
        self.files, self.ledger = FileSet(folder, disk), Ledger()
        self.addresses = {row.name: row.listen.pair for row in setup.managers}
        self.joined = {name: Joined() for name in self.addresses}
        self.answer_after_us = 0  # a trouble that rehearsals play: the agent answers that much later
        self._restore(folder)
        self.server = Server(loop, place.agent.pair, self._request, self.counts, BODY_MOST)
        self.address = self.server.address
        for name in self.addresses:
            loop.soon(lambda name=name: self._dial(name))
        self.loop.after(self.chance.randint(1, round(setup.reports.period_s * 1e6)), self._report)

    # What is held, and how it changes.

    def _restore(self, folder):
        if self.files.cleared:
            self.log.info("leftovers_cleared", proxy=self.place.name, generations=self.files.cleared)
        if not self.files.number:
            return
        reader = TableReader(folder)
        if not reader.poll():
            # Files that cannot be read are no tables: all is read from the store again.
            self.log.error("files_unreadable", proxy=self.place.name, problem=reader.problem)
            return
        orders = {name: (levels, reader.withheld[name]) for name, levels in reader.levels.items()}
        self.ledger.restored([row[0] for row in reader.tables.values()], orders, reader.fences)
        self.log.info("files_taken_up", proxy=self.place.name, generation=self.files.number,
                      tables=len(self.ledger.tables))

    def _swap(self, staged, changed, reordered):
        """Write what changed and swap it in; the ledger follows only then. Raises OSError: the old set stands."""
        bodies, size = {}, self.setup.tables_a_file
        for page in sorted({item // size for item in changed}):
            rows = []
            for item in range(page * size, page * size + size):
                table = staged.tables.get(item)
                if table is not None:
                    orders = staged.ordered(staged.owner(item))
                    rows.append(table_resource(table, orders.withheld, orders.levels))
            version = max(staged.tables[item].version for item in changed if item // size == page)
            bodies[f"tables-{page:04d}.json"] = dump(response(f"{version[0]}.{version[1]}", CLA, rows))
        fences = {item: (staged.fences[item], staged.owners.get(item, "")) for item in staged.fences}
        if reordered or fences != self._fences_written:
            resources = [routes_resource(name, row.levels, row.withheld) for name, row in sorted(staged.orders.items())]
            data = response(str(self.files.number + 1), ROUTES, resources)
            data["controlPlane"] = {"identifier": fences_text(fences)}
            bodies["orders.json"] = dump(data)
        if not bodies:
            self.ledger = staged
            return None
        self.files.replace(bodies)
        self.ledger, self._fences_written = staged, fences
        self.counts["swaps"] += 1
        problem = self.on_swap()
        if problem:
            self.counts["sets the proxy refused"] += 1
            self.log.error("proxy_refused_set", proxy=self.place.name, problem=problem)
        return problem

    _fences_written = None

    def _staged(self):
        copy = Ledger()
        copy.tables, copy.fences, copy.owners = dict(self.ledger.tables), dict(self.ledger.fences), dict(self.ledger.owners)
        copy.orders = {name: Orders(dict(row.levels), row.withheld) for name, row in self.ledger.orders.items()}
        return copy

    # What managers push.

    def _request(self, request):
        method, path = request.method, request.path.split("/")
        if method != "PUT" or len(path) != 4 or path[1] != "v3" or path[2] not in ("tables", "custody"):
            self._refuse(request, 404, "unknown request", f"{method} {request.path:.60}")
        elif path[3] not in self.addresses:
            self._refuse(request, 404, "unknown manager", f"{path[3]:.60}")
        elif not digest_matches(request.headers.get("content-digest"), request.body):
            self._refuse(request, 400, "altered body", f"from {path[3]}")
            request.connection.close()
        else:
            try:
                (self._tables if path[2] == "tables" else self._custody)(request, path[3])
            except BadDocument as problem:
                self._refuse(request, 400, "malformed body", str(problem))
                request.connection.close()
            except Rejected as problem:
                self._refuse(request, 409, problem.reason, str(problem))
            except OSError as problem:
                self.counts["disk refused"] += 1
                self.log.error("disk_refused", proxy=self.place.name, reason=problem.strerror,
                               in_force=self.files.number)
                request.answer(507, [("content-type", "text/plain")], str(problem.strerror).encode())

    def _refuse(self, request, status, reason, text):
        self.counts[reason] += 1
        self.log.warning("push_refused", proxy=self.place.name, reason=reason, detail=text)
        request.answer(status, [("content-type", "text/plain")], text.encode())

    def _tables(self, request, manager):
        joined = self.joined[manager]
        if request.headers.get("if-match") != f'"{joined.session}.{joined.tag}"':
            # A message was lost or comes from a stream that is no more: what it builds on is not held here.
            self._refuse(request, 412, "precondition", f"{manager}: {request.headers.get('if-match', '-'):.60}")
            return
        push = push_of(request.body, manager)
        self.log.debug("pushed", proxy=self.place.name, manager=manager, tables=len(push.tables),
                       ordered=request.headers.get("x-ordered-us"), lines=request.headers.get("x-lines"))
        staged = self._staged()
        changed, reordered = staged.push(push)
        problem = self._swap(staged, changed, reordered)
        joined.tag = push.number
        tag = ("etag", f'"{joined.session}.{joined.tag}"')
        if self.answer_after_us:
            self.loop.after(self.answer_after_us, lambda: self._taken(request, manager, push, tag, problem))
        else:
            self._taken(request, manager, push, tag, problem)

    def _taken(self, request, manager, push, tag, problem):
        request.answer(204, [tag])
        joined = self.joined[manager]
        if push.mark is not None and joined.up:
            answer = {"node": {"id": self.place.name}, "versionInfo": f"{push.fence}.{push.number}",
                      "typeUrl": CLA, "responseNonce": str(push.mark)}
            if problem:
                answer["errorDetail"] = {"code": 3, "message": problem}
            joined.client.ask("POST", "/v3/discovery:endpoints", JSON, dump(answer), lambda _: None, ANSWER_US)

    def _custody(self, request, manager):
        data = load(request.body, "custody")
        fence, items = need(data, "fence", int, "custody"), need(data, "slices", list, "custody")
        if not all(isinstance(item, int) and 0 <= item < self.setup.slices for item in items):
            raise BadDocument("custody.slices: names no slice")
        staged = self._staged()
        staged.custody(manager, fence, items)
        touched = {item for item in items if item in staged.tables and staged.owner(item) != self.ledger.owner(item)}
        self._swap(staged, touched, False)
        request.answer(204)
        if self.joined[manager].up:
            self._read(manager, f"custody-{fence}", items)

    # What it asks of managers.

    def _dial(self, manager):
        joined = self.joined[manager]
        joined.session, joined.tag, joined.up = "", 0, False
        client = joined.client = Client(self.loop, self.addresses[manager],
                                        on_closed=lambda reason: self._left(manager, client, reason))
        self._read(manager, "", None)

    def _left(self, manager, client, reason):
        joined = self.joined[manager]
        if joined.client is not client:
            return
        if joined.up:
            self.log.info("left_manager", proxy=self.place.name, manager=manager, reason=reason)
        joined.up, joined.client, joined.session = False, None, ""
        wait = self.chance.randint(*REDIAL_US) << min(joined.failures, 4)
        joined.failures += 1
        self.loop.after(min(wait, REDIAL_MOST_US), lambda: self._dial(manager))

    def _read(self, manager, nonce, items):
        """Join, or read slices given anew: say what is held, be given what is newer."""
        joined = self.joined[manager]
        data = {"node": {"id": self.place.name, "locality": {"zone": self.place.zone}, "metadata": {
                    "host": self.address[0], "port": self.address[1], "usual_per_s": self.place.usual_per_s,
                    "fresh": manager not in self.ledger.orders}},
                "typeUrl": CLA, "initialResourceVersions": self.ledger.versions(), "responseNonce": nonce}
        if items is not None:
            data["resourceNamesSubscribe"] = [f"slice-{item}" for item in items]
        client = joined.client
        client.ask("POST", "/v3/delta_discovery:endpoints", JSON, dump(data),
                   lambda answer: self._was_read(manager, client, answer), ANSWER_US)

    def _was_read(self, manager, client, answer):
        joined = self.joined[manager]
        if joined.client is not client:
            return
        if answer.status != 200:
            if answer.status:
                self.counts["joins put off"] += 1
                client.close()
            return
        try:
            self._take_read(manager, answer.body)
        except (BadDocument, Rejected) as problem:
            self.counts["malformed answer"] += 1
            self.log.warning("answer_refused", proxy=self.place.name, manager=manager, detail=str(problem))
            client.abort("malformed answer")
        except OSError as problem:
            self.counts["disk refused"] += 1
            self.log.error("disk_refused", proxy=self.place.name, reason=problem.strerror, in_force=self.files.number)
            client.close()

    def _take_read(self, manager, body):
        joined, data = self.joined[manager], load(body, "answer")
        if need(data, "typeUrl", str, "answer") != CLA:
            raise BadDocument("answer.typeUrl: is not that of tables")
        fence, _ = version_of(need(data, "systemVersionInfo", str, "answer"), "answer.systemVersionInfo")
        tables = [table_of(need(row, "resource", dict, "answer"), "answer")[0]
                  for row in need(data, "resources", list, "answer")]
        given = parse_fences(need(need(data, "controlPlane", dict, "answer"), "identifier", str, "answer"))
        staged = self._staged()
        changed = staged.read(manager, fence, tables)
        for item in given:
            if fence >= staged.fence(item):
                staged.fences[item], staged.owners[item] = fence, manager
                if item in staged.tables and self.ledger.owner(item) != manager:
                    changed.add(item)
        self._swap(staged, changed, False)
        nonce = need(data, "nonce", str, "answer")
        if not joined.up:
            joined.session, joined.tag, joined.up, joined.failures = nonce, 0, True, 0
            self.log.info("joined_manager", proxy=self.place.name, manager=manager, tables=len(changed))
        answer = {"node": {"id": self.place.name}, "versionInfo": "", "typeUrl": CLA, "responseNonce": nonce}
        joined.client.ask("POST", "/v3/discovery:endpoints", JSON, dump(answer), lambda _: None, ANSWER_US)

    def _report(self):
        self.loop.after(round(self.setup.reports.period_s * 1e6), self._report)
        for manager, joined in self.joined.items():
            # A manager that does not answer gets no more sums; they add up at the proxy.
            if joined.up and joined.client.outstanding < 4 and self.sums is not None:
                body = self.sums(manager)
                joined.client.ask("POST", "/v3/load_stats", JSON, dump(body), lambda _: None, ANSWER_US)

    def owner(self, item):
        return self.ledger.owner(item)

    def close(self):
        self.server.close()
        for joined in self.joined.values():
            if joined.client is not None:
                client, joined.client = joined.client, None
                client.close()


JSON = [("content-type", "application/json")]
__all__ = ["FileAgent", "Refused"]
