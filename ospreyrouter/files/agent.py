"""The file agent beside a proxy: joins managers, receives pushed tables and replaces the proxy's table files.

    agent = FileAgent(loop, deployment, proxy_config, folder, calls, log, on_swap=reload, load_stats=load_stats)

Updates of the files run one after the other through `calls` (the disk helper): the event loop never waits for a disk.

Manager to agent: `PUT /v3/tables/MANAGER` (an array of DiscoveryResponses; `Content-Digest`, RFC 9530; `If-Match`
with the tag of the previous message, RFC 9110) and `PUT /v3/custody/MANAGER`. Agent to manager, on the connection
whose lifetime is that of the join: DeltaDiscoveryRequest (join, or read tables from the store), DiscoveryRequest (the
acknowledgement of a mark) and LoadStatsRequest (load reports).

`on_swap()` tells the proxy that another set of files is in force; it returns None, or the reason why the proxy could
not use the set. `load_stats(manager)` returns the body of the next load report for a manager.
"""

from collections import Counter, deque
from random import Random

from ..loop import AddressUnavailable
from ..web import Client, Server, digest_matches
from ..web.coding import BadBody, decode_body
from ..xds.documents import (
    CLUSTER_LOAD_ASSIGNMENT,
    ROUTE_CONFIGURATION,
    InvalidDocument,
    RenderedTables,
    discovery_response,
    parse_full_table,
    parse_json,
    parse_push,
    parse_version,
    require_field,
    routes_resource,
    to_json,
)
from .ledger import Ledger, Rejected
from .reader import TableReader, format_fences, parse_fences

REDIAL_DELAY_US = (100_000, 500_000)  # drawn between attempts to join, so that proxies do not return in step
MAX_REDIAL_DELAY_US = 4_000_000
ANSWER_TIMEOUT_US = 5_000_000  # for a manager's answer
MAX_BODY_BYTES = 16 << 20
READ_SPREAD_US = 200_000  # span over which proxies spread their reads of full tables


class ManagerStream:
    """State of the connection to one manager.

    `session` and `tag` identify the last message accepted, `failures` counts attempts to join since the last success.
    `missing_bases` are slices whose delta had no base here, `read_pending` whether a read for them is under way, and
    `deferred_marks` the (push, refusal) whose marks are acknowledged after that read.
    """

    def __init__(self):
        self.client, self.session, self.tag, self.failures, self.joined = None, "", 0, 0, False
        self.missing_bases, self.read_pending, self.deferred_marks = set(), False, []


class FileAgent:
    """The agent of one proxy; see the top of this module.

    `proxy_config` is the proxy's entry in the deployment: name, zone, address of the agent and usual_per_s. `folder`
    holds the set of files. Raises OSError if the agent's address cannot be listened on.
    """

    def __init__(
        self, loop, deployment, proxy_config, folder, calls, log, on_swap=lambda: None, load_stats=None, seed=0
    ):
        self.loop, self.deployment, self.proxy_config, self.log, self.on_swap = (
            loop,
            deployment,
            proxy_config,
            log,
            on_swap,
        )
        self.load_stats, self.rng, self.counts = load_stats, Random(f"{proxy_config.name}/{seed}"), Counter()
        self.folder, self.calls, self.ledger, self.generation_number = folder, calls, Ledger(), 0
        self.rendered = RenderedTables()
        self.manager_addresses = {manager.name: manager.listen.pair for manager in deployment.managers}
        self.manager_streams = {name: ManagerStream() for name in self.manager_addresses}
        self.answer_delay_us = 0  # fault injection in rehearsals: how much later a push is answered
        self.queued_updates, self.updating, self.closed = deque(), True, False
        self.server = Server(loop, proxy_config.agent.pair, self._handle_request, self.counts, MAX_BODY_BYTES)
        self.address = self.server.address
        calls.submit("open_set", (folder,), self._set_opened)

    # The ledger and the files, and how they change.

    def _set_opened(self, result, disk_error):
        if disk_error is not None:
            self.log.error("disk_refused", proxy=self.proxy_config.name, reason=disk_error.strerror, in_force=0)
            self.loop.after(
                MAX_REDIAL_DELAY_US, lambda: self.calls.submit("open_set", (self.folder,), self._set_opened)
            )
            return
        self.generation_number, cleared = result
        if cleared:
            self.log.info("leftovers_cleared", proxy=self.proxy_config.name, generations=cleared)
        if self.generation_number:
            self._restore()
        self.updating = False
        for name in self.manager_addresses:
            self._connect(name)
        self.loop.after(self.rng.randint(1, round(self.deployment.reports.period_s * 1e6)), self._send_load_stats)
        self._run_next_update()

    def _restore(self):
        """Loads the ledger from the files that a former process left."""
        reader = TableReader(self.folder)
        if not reader.poll():
            # Without readable files the ledger stays empty, and all tables are read from the store again.
            self.log.error("files_unreadable", proxy=self.proxy_config.name, problem=reader.last_error)
            return
        orders = {name: (levels, reader.withheld[name]) for name, levels in reader.levels.items()}
        self.ledger.restore([content[0] for content in reader.tables.values()], orders, reader.fences)
        self.log.info(
            "files_taken_up",
            proxy=self.proxy_config.name,
            generation=self.generation_number,
            tables=len(self.ledger.tables),
        )
        self.on_swap()

    def _enqueue_update(self, update):
        """Runs `update(done)` when the updates before it have finished; it must call `done()` exactly once."""
        self.queued_updates.append(update)
        self._run_next_update()

    def _run_next_update(self):
        if self.updating or not self.queued_updates:
            return
        self.updating = True

        def done():
            self.updating = False
            self.loop.soon(self._run_next_update)

        self.queued_updates.popleft()(done)

    def _write_and_swap(self, staged, changed, orders_changed, on_done):
        """Writes the files that differ in the ledger `staged` and makes them the set in force; only then `staged`
        becomes the agent's ledger.

        `changed` are the slices with another table. Calls `on_done(error, refusal)`: the OSError with which the old set
        stays in force or None, and the reason why the proxy could not use the new set or None.
        """
        bodies, tables_per_file = {}, self.deployment.tables_a_file
        for file_index in sorted({slice_index // tables_per_file for slice_index in changed}):
            resources = []
            for slice_index in range(file_index * tables_per_file, file_index * tables_per_file + tables_per_file):
                table = staged.tables.get(slice_index)
                if table is not None:
                    owner_orders = staged.orders_of(staged.owner(slice_index))
                    resources.append(self.rendered.table(table, owner_orders.withheld, owner_orders.levels))
            version = max(
                staged.tables[slice_index].version
                for slice_index in changed
                if slice_index // tables_per_file == file_index
            )
            bodies[f"tables-{file_index:04d}.json"] = to_json(
                discovery_response(f"{version[0]}.{version[1]}", CLUSTER_LOAD_ASSIGNMENT, resources)
            )
        fences = {
            slice_index: (staged.fences[slice_index], staged.owners.get(slice_index, ""))
            for slice_index in staged.fences
        }
        if orders_changed or fences != self._fences_written:
            routes = [
                routes_resource(name, manager_orders.levels, manager_orders.withheld)
                for name, manager_orders in sorted(staged.orders.items())
            ]
            data = discovery_response(str(self.generation_number + 1), ROUTE_CONFIGURATION, routes)
            data["controlPlane"] = {"identifier": format_fences(fences)}
            bodies["orders.json"] = to_json(data)
        if not bodies:
            self.ledger = staged
            on_done(None, None)
            return

        def swapped(number, disk_error):
            if disk_error is not None:
                self.counts["disk refused"] += 1
                self.log.error(
                    "disk_refused",
                    proxy=self.proxy_config.name,
                    reason=disk_error.strerror,
                    in_force=self.generation_number,
                )
                on_done(disk_error, None)
                return
            self.generation_number, self.ledger, self._fences_written = number, staged, fences
            self.counts["swaps"] += 1
            refusal = self.on_swap()
            if refusal:
                self.counts["sets the proxy refused"] += 1
                self.log.error("proxy_refused_set", proxy=self.proxy_config.name, problem=refusal)
            on_done(None, refusal)

        self.calls.submit("replace_set", (self.folder, bodies), swapped)

    _fences_written = None

    # Requests of managers.

    def _handle_request(self, request):
        method, path = request.method, request.path.split("/")
        if method != "PUT" or len(path) != 4 or path[1] != "v3" or path[2] not in ("tables", "custody"):
            self._reject(request, 404, "unknown request", f"{method} {request.path:.60}")
        elif path[3] not in self.manager_addresses:
            self._reject(request, 404, "unknown manager", f"{path[3]:.60}")
        elif not digest_matches(request.headers.get("content-digest"), request.body):
            self._reject(request, 400, "altered body", f"from {path[3]}")
            request.connection.close()
        else:
            handler = self._handle_push if path[2] == "tables" else self._handle_custody
            self._enqueue_update(lambda done: self._run_handler(request, handler, path[3], done))

    def _run_handler(self, request, handler, manager, done):
        """Decodes the body and runs a handler; a malformed or rejected request is answered with its status."""
        try:
            request.body = decode_body(request.body, request.headers.get("content-encoding", ""))
            handler(request, manager, done)
        except (InvalidDocument, BadBody) as error:
            self._reject(request, 400, "malformed body", str(error))
            request.connection.close()
            done()
        except Rejected as error:
            self._reject(request, 409, error.reason, str(error))
            done()

    @staticmethod
    def _answer_disk_error(request, error):
        request.respond(507, [("content-type", "text/plain")], str(error.strerror).encode())

    def _reject(self, request, status, reason, text):
        self.counts[reason] += 1
        self.log.warning("push_refused", proxy=self.proxy_config.name, reason=reason, detail=text)
        request.respond(status, [("content-type", "text/plain")], text.encode())

    def _handle_push(self, request, manager, done):
        """Handles `PUT /v3/tables/MANAGER`. Raises InvalidDocument or Rejected."""
        stream = self.manager_streams[manager]
        if request.headers.get("if-match") != f'"{stream.session}.{stream.tag}"':
            # A message was lost, or this one belongs to a stream that has ended: its base is not held here.
            self._reject(request, 412, "precondition", f"{manager}: {request.headers.get('if-match', '-'):.60}")
            done()
            return
        push = parse_push(request.body, manager)
        self.log.debug(
            "pushed",
            proxy=self.proxy_config.name,
            manager=manager,
            tables=len(push.tables),
            ordered=request.headers.get("x-ordered-us"),
            lines=request.headers.get("x-lines"),
        )
        staged = self.ledger.copy()
        changed, orders_changed, missing_bases = staged.apply_push(push)
        session = stream.session

        def swapped(error, refusal):
            done()
            if error is not None:
                self._answer_disk_error(request, error)
                return
            if stream.session != session:
                return  # the stream broke meanwhile: the next join reports what is held
            stream.tag = push.number
            if missing_bases:
                self.counts["changes without their base"] += len(missing_bases)
                self.log.info("base_missing", proxy=self.proxy_config.name, manager=manager, slices=len(missing_bases))
                stream.missing_bases |= missing_bases
                self._schedule_missing_read(manager)
            tag = ("etag", f'"{stream.session}.{stream.tag}"')
            if self.answer_delay_us:
                self.loop.after(
                    self.answer_delay_us, lambda: self._acknowledge_push(request, manager, push, tag, refusal)
                )
            else:
                self._acknowledge_push(request, manager, push, tag, refusal)

        self._write_and_swap(staged, changed, orders_changed, swapped)

    def _acknowledge_push(self, request, manager, push, tag, refusal):
        request.respond(204, [tag])
        stream = self.manager_streams[manager]
        if stream.missing_bases:
            # The mark asks whether everything before it is in force: that is so once the full tables were read.
            stream.deferred_marks.append((push, refusal))
        else:
            self._acknowledge_mark(manager, push, refusal)

    def _schedule_missing_read(self, manager):
        """Reads full tables for deltas without a base: once, after a random delay, as proxies must not ask in step."""
        stream = self.manager_streams[manager]
        if stream.read_pending or not stream.missing_bases:
            return
        stream.read_pending, client = True, stream.client
        delay_us = self.rng.randint(0, READ_SPREAD_US)
        self.loop.after(
            delay_us,
            lambda: (
                stream.client is client
                and stream.joined
                and self._request_tables(manager, "missing", sorted(stream.missing_bases))
            ),
        )

    def _acknowledge_mark(self, manager, push, refusal):
        stream = self.manager_streams[manager]
        if push.mark is not None and stream.joined:
            acknowledgement = {
                "node": {"id": self.proxy_config.name},
                "versionInfo": f"{push.fence}.{push.number}",
                "typeUrl": CLUSTER_LOAD_ASSIGNMENT,
                "responseNonce": str(push.mark),
            }
            if refusal:
                acknowledgement["errorDetail"] = {"code": 3, "message": refusal}
            stream.client.send_request(
                "POST",
                "/v3/discovery:endpoints",
                JSON_HEADERS,
                to_json(acknowledgement),
                lambda _: None,
                ANSWER_TIMEOUT_US,
            )

    def _handle_custody(self, request, manager, done):
        """Handles `PUT /v3/custody/MANAGER`: the manager is in charge of the listed slices. Raises InvalidDocument or
        Rejected.
        """
        data = parse_json(request.body, "custody")
        fence, slice_indices = (
            require_field(data, "fence", int, "custody"),
            require_field(data, "slices", list, "custody"),
        )
        if not all(
            isinstance(slice_index, int) and 0 <= slice_index < self.deployment.slices for slice_index in slice_indices
        ):
            raise InvalidDocument("custody.slices: is not a list of known slice numbers")
        staged = self.ledger.copy()
        staged.accept_custody(manager, fence, slice_indices)
        reassigned = {
            slice_index
            for slice_index in slice_indices
            if slice_index in staged.tables and staged.owner(slice_index) != self.ledger.owner(slice_index)
        }

        def swapped(error, refusal):
            done()
            if error is not None:
                self._answer_disk_error(request, error)
                return
            request.respond(204)
            if self.manager_streams[manager].joined:
                self._request_tables(manager, f"custody-{fence}", slice_indices)

        self._write_and_swap(staged, reassigned, False, swapped)

    # Requests to managers.

    def _connect(self, manager):
        """Opens a new connection to a manager and asks to join."""
        if self.closed:
            return
        stream = self.manager_streams[manager]
        stream.session, stream.tag, stream.joined = "", 0, False
        stream.missing_bases, stream.read_pending, stream.deferred_marks = set(), False, []
        client = stream.client = Client(
            self.loop,
            self.manager_addresses[manager],
            on_closed=lambda reason: self._connection_closed(manager, client, reason),
        )
        self._request_tables(manager, "", None)

    def _connection_closed(self, manager, client, reason):
        stream = self.manager_streams[manager]
        if stream.client is not client:
            return
        if stream.joined:
            self.log.info("left_manager", proxy=self.proxy_config.name, manager=manager, reason=reason)
        stream.joined, stream.client, stream.session = False, None, ""
        delay_us = self.rng.randint(*REDIAL_DELAY_US) << min(stream.failures, 4)
        stream.failures += 1
        self.loop.after(min(delay_us, MAX_REDIAL_DELAY_US), lambda: self._connect(manager))

    def _request_tables(self, manager, nonce, slice_indices):
        """Sends the versions held; the manager answers with newer tables.

        With `slice_indices` None the request also joins; otherwise it reads only those slices.
        """
        stream = self.manager_streams[manager]
        data = {
            "node": {
                "id": self.proxy_config.name,
                "locality": {"zone": self.proxy_config.zone},
                "metadata": {
                    "host": self.address[0],
                    "port": self.address[1],
                    "usual_per_s": self.proxy_config.usual_per_s,
                    "fresh": manager not in self.ledger.orders,
                    "levels": {kind: level for kind, (level, _) in self.ledger.orders_of(manager).levels.items()},
                },
            },
            "typeUrl": CLUSTER_LOAD_ASSIGNMENT,
            "initialResourceVersions": self.ledger.held_versions(),
            "responseNonce": nonce,
        }
        if slice_indices is not None:
            data["resourceNamesSubscribe"] = [f"slice-{slice_index}" for slice_index in slice_indices]
        client = stream.client
        client.send_request(
            "POST",
            "/v3/delta_discovery:endpoints",
            JSON_HEADERS,
            to_json(data),
            lambda answer: self._tables_answered(manager, client, answer, nonce, slice_indices),
            ANSWER_TIMEOUT_US,
        )

    def _tables_answered(self, manager, client, answer, nonce, slice_indices):
        stream = self.manager_streams[manager]
        if stream.client is not client:
            return
        if answer.status == 503 and stream.joined:
            # The manager has no room for an answer of this size at the moment; the join itself remains in force.
            self.counts["reads put off"] += 1
            self.loop.after(
                self.rng.randint(*REDIAL_DELAY_US),
                lambda: (
                    stream.client is client and stream.joined and self._request_tables(manager, nonce, slice_indices)
                ),
            )
            return
        if answer.status != 200:
            if answer.status:
                self.counts["joins put off"] += 1
                client.close()
            return
        self._enqueue_update(lambda done: self._apply_answer(manager, client, answer.body, done))

    def _apply_answer(self, manager, client, body, done):
        """Applies the tables and fences of an answer; a malformed or rejected one ends the connection."""
        stream = self.manager_streams[manager]
        if stream.client is not client:
            done()
            return
        try:
            data = parse_json(body, "answer")
            if require_field(data, "typeUrl", str, "answer") != CLUSTER_LOAD_ASSIGNMENT:
                raise InvalidDocument("answer.typeUrl: is not the type of tables")
            fence, _ = parse_version(
                require_field(data, "systemVersionInfo", str, "answer"), "answer.systemVersionInfo"
            )
            tables = [
                parse_full_table(require_field(resource, "resource", dict, "answer"), "answer")[0]
                for resource in require_field(data, "resources", list, "answer")
            ]
            assigned = parse_fences(
                require_field(require_field(data, "controlPlane", dict, "answer"), "identifier", str, "answer")
            )
            nonce = require_field(data, "nonce", str, "answer")
        except InvalidDocument as error:
            self._reject_answer(manager, client, error)
            done()
            return
        staged = self.ledger.copy()
        try:
            changed = staged.apply_read(manager, fence, tables, assigned)
        except Rejected as error:
            self._reject_answer(manager, client, error)
            done()
            return

        def swapped(error, refusal):
            done()
            if stream.client is not client:
                return
            if error is not None:
                client.close()
                return
            if not stream.joined:
                stream.session, stream.tag, stream.joined, stream.failures = nonce, 0, True, 0
                self.log.info("joined_manager", proxy=self.proxy_config.name, manager=manager, tables=len(changed))
            if stream.read_pending:
                stream.read_pending, stream.missing_bases = False, set()
                deferred, stream.deferred_marks = stream.deferred_marks, []
                for push, push_refusal in deferred:
                    self._acknowledge_mark(manager, push, push_refusal or refusal)
            acknowledgement = {
                "node": {"id": self.proxy_config.name},
                "versionInfo": "",
                "typeUrl": CLUSTER_LOAD_ASSIGNMENT,
                "responseNonce": nonce,
            }
            client.send_request(
                "POST",
                "/v3/discovery:endpoints",
                JSON_HEADERS,
                to_json(acknowledgement),
                lambda _: None,
                ANSWER_TIMEOUT_US,
            )

        self._write_and_swap(staged, changed, False, swapped)

    def _reject_answer(self, manager, client, error):
        self.counts["malformed answer"] += 1
        self.log.warning("answer_refused", proxy=self.proxy_config.name, manager=manager, detail=str(error))
        client.abort("malformed answer")

    def _send_load_stats(self):
        """Sends a load report to every joined manager, once a report period."""
        if self.closed:
            return
        self.loop.after(round(self.deployment.reports.period_s * 1e6), self._send_load_stats)
        for manager, stream in self.manager_streams.items():
            # A manager that does not answer gets no more reports; the sums accumulate at the proxy.
            if stream.joined and stream.client.outstanding < 4 and self.load_stats is not None:
                body = self.load_stats(manager)
                stream.client.send_request(
                    "POST", "/v3/load_stats", JSON_HEADERS, to_json(body), lambda _: None, ANSWER_TIMEOUT_US
                )

    def owner(self, slice_index):
        """Returns the name of the manager in charge of a slice, or None."""
        return self.ledger.owner(slice_index)

    def close(self):
        """Closes the server, the disk helper and all connections to managers."""
        self.closed = True
        self.server.close()
        self.calls.close()
        for stream in self.manager_streams.values():
            if stream.client is not None:
                client, stream.client = stream.client, None
                client.close()


JSON_HEADERS = [("content-type", "application/json")]
__all__ = ["FileAgent", "AddressUnavailable"]
