"""Sessions of the proxies that have joined a manager: store reads, and pushes through the paced channel.

    proxies = Proxies(service)
    proxies.handle_read(request, proxy, data); proxies.handle_acknowledgement(request, proxy, data)
    proxies.send(proxies, lines, push); proxies.request_read(slices)
    proxies.drop(proxy, reason); proxies.drop_all(reason)

A proxy joins by reading the tables with a request whose connection stays open. When it has acknowledged them, the
manager opens a second connection to the proxy, on which it pushes one message at a time. The session ends when either
connection does.
"""

from collections import deque

import zstandard

from ..channel import PacedChannel
from ..files.reader import format_fences
from ..web import Client, content_digest
from ..xds.documents import (
    CLUSTER_LOAD_ASSIGNMENT,
    InvalidDocument,
    RenderedTables,
    push_body,
    require_field,
    to_json,
    version_claim,
)
from .admission import ReadBudget

PUSH_TIMEOUT_US = 3_000_000  # a proxy that does not answer a push within this time is disconnected
JOIN_TIMEOUT_US = 5_000_000  # time for a joining proxy to acknowledge the tables that it read
# Pushes larger than this are compressed: deltas shrink to a half, full tables to a third.
MIN_COMPRESSED_BYTES = 512
JSON_HEADER = ("content-type", "application/json")


class Session:
    """One joined proxy: the connection by which it joined, and the client that pushes to it.

    `last_push` is the number of the last push that the proxy accepted, `ready` is set when it has acknowledged the
    tables that it read.
    """

    def __init__(self, proxy, connection, nonce, address):
        self.proxy, self.connection, self.nonce, self.address = proxy, connection, nonce, address
        self.client, self.last_push, self.push_queue, self.push_pending, self.ready = None, 0, deque(), False, False
        self.audit_pending = False


class Proxies:
    """All sessions of a manager; see the module docstring."""

    def __init__(self, service):
        self.service, self.loop, self.core = service, service.loop, service.core
        self.log, self.name, self.counts = service.log, service.name, service.counts
        channel = service.setup.channel
        self.channel = PacedChannel(
            channel.lines_per_s,
            channel.message_head,
            channel.queue_lines,
            channel.messages_most,
            round(channel.messages_over_s * 1e6),
        )
        self.read_budget = ReadBudget(channel.read_lines_per_s)
        self.rendered_tables, self.compressor = RenderedTables(), zstandard.ZstdCompressor(level=3)
        self.sessions, self.join_count, self.channel_timer = {}, 0, None

    def send(self, proxies, lines, push):
        """Queue a push that counts `lines` lines for these proxies; a proxy whose queue is full is dropped."""
        now, body, headers = self.loop.now(), push_body(push), [JSON_HEADER]
        if len(body) > MIN_COMPRESSED_BYTES:
            # Compressed once for all proxies. Content-Digest covers the encoded content (RFC 9530).
            body, headers = self.compressor.compress(body), [JSON_HEADER, ("content-encoding", "zstd")]
        content = (push, body, [*headers, ("content-digest", content_digest(body))])
        for proxy in self.channel.enqueue(now, proxies, lines, content):
            self.drop(proxy, "no room in the channel")
        self._release_messages()

    def _release_messages(self):
        """Pass the messages that the channel releases to their sessions, and set a timer for the next one."""
        now = self.loop.now()
        for proxy, message in self.channel.release_due(now):
            session = self.sessions.get(proxy)
            if session is not None:
                session.push_queue.append(message)
                self._push_next(session)
        next_us = self.channel.next_at(now)
        if next_us is not None and (self.channel_timer is None or self.channel_timer.callback is None):
            self.channel_timer = self.loop.at(max(next_us, now + 500), self._release_messages)

    def _push_next(self, session):
        """Push the next message, unless the answer to the previous one is pending."""
        if session.push_pending or not session.ready or not session.push_queue:
            return
        message = session.push_queue.popleft()
        push, body, headers = message.content
        session.push_pending = True
        headers = [
            *headers,
            ("if-match", f'"{session.nonce}.{session.last_push}"'),
            ("x-ordered-us", str(message.ordered_us)),
            ("x-lines", str(message.lines)),
        ]
        session.client.send_request(
            "PUT",
            f"/v3/tables/{self.name}",
            headers,
            body,
            lambda answer: self._push_answered(session, push, answer),
            PUSH_TIMEOUT_US,
        )
        self.channel.mark_sent(session.proxy, message)
        self.counts["pushes"] += 1
        self.counts["bytes pushed"] += len(body)

    def _push_answered(self, session, push, answer):
        session.push_pending = False
        if self.sessions.get(session.proxy) is not session:
            return
        if answer.status == 204:
            session.last_push = push.number
            self._push_next(session)
            return
        if answer.status == 409:
            self.service.check_store()  # another manager owns the slices by now, as the store will show
        self.log.warning(
            "push_not_taken",
            manager=self.name,
            proxy=session.proxy,
            status=answer.status,
            reason=answer.reason or answer.body[:100].decode("latin-1"),
        )
        self.drop(session.proxy, f"answered {answer.status}")

    def request_read(self, slices, only_session=None):
        """Ask all proxies, or only the one of `only_session`, to read these slices from the store."""
        body = to_json({"fence": self.core.epoch, "slices": slices})
        headers = [JSON_HEADER, ("content-digest", content_digest(body))]
        for session in list(self.sessions.values()) if only_session is None else [only_session]:
            if session.ready:
                session.client.send_request(
                    "PUT", f"/v3/custody/{self.name}", headers, body, lambda _: None, PUSH_TIMEOUT_US
                )

    def drop(self, proxy, reason):
        """End a session, if there is one, and log the reason."""
        session = self.sessions.pop(proxy, None)
        if session is None:
            return
        self.counts["proxies lost"] += 1
        self.log.info("proxy_left", manager=self.name, proxy=proxy, reason=reason)
        self.channel.remove_proxy(proxy)
        self.core.proxy_left(proxy)
        session.connection.on_closed = None
        session.connection.abort(reason)
        if session.client is not None:
            session.client.on_closed = None
            session.client.abort(reason)
        self.service.schedule_round()

    def handle_read(self, request, proxy, data):
        """Answer a request for tables with those of which the proxy holds another version.

        The first request on a connection starts a session. It is answered 503 if the manager is not ready for proxies
        or the read budget is exhausted.
        """
        held_versions = require_field(data, "initialResourceVersions", dict, "request")
        session = self.sessions.get(proxy)
        if session is not None and session.connection is not request.connection:
            self.drop(proxy, "joined anew")
            session = None
        subscribed = data.get("resourceNamesSubscribe")
        slices = sorted(
            self.core.tables
            if subscribed is None
            else {slice_index for slice_index in self.core.tables if f"slice-{slice_index}" in set(subscribed)}
        )
        tables = [
            self.core.published_tables[slice_index]
            for slice_index in slices
            if slice_index in self.core.published_tables
            and held_versions.get(f"slice-{slice_index}") != version_claim(self.core.published_tables[slice_index])
        ]
        lines = 1 + sum(len(table.lines) for table in tables)
        now = self.loop.now()
        if session is not None and session.audit_pending:
            session.audit_pending = False
            self.service.background.audit_finished(proxy, len(slices), len(tables))
        if (
            session is None
            and (self.service.custody.epoch is None or self.service.cannot_keep_drains())
            or not self.read_budget.admit(now, lines)
        ):
            self.counts["joins put off"] += 1
            wait_s = self.read_budget.wait_us(lines) / 1e6
            close_header = [] if session is not None else [("connection", "close")]
            request.respond(503, [("retry-after", str(max(1, round(wait_s)))), *close_header])
            return
        nonce = session.nonce if session is not None else f"{self.service.incarnation}.{self.join_count}"
        fences = dict.fromkeys(slices, (self.core.epoch, self.name))
        answer = {
            "systemVersionInfo": f"{self.core.epoch}.{self.core.push_number}",
            "typeUrl": CLUSTER_LOAD_ASSIGNMENT,
            "nonce": nonce,
            "resources": [
                {
                    "name": f"slice-{table.slice}",
                    "version": version_claim(table),
                    "resource": self.rendered_tables.table(table),
                }
                for table in tables
            ],
            "controlPlane": {"identifier": format_fences(fences)},
        }
        if session is None:
            self._join(request, proxy, data, nonce)
        request.respond(200, [JSON_HEADER], to_json(answer))

    def _join(self, request, proxy, data, nonce):
        """Start a session. Raises InvalidDocument for malformed metadata."""
        metadata = require_field(data["node"], "metadata", dict, "request.node")
        address = (
            require_field(metadata, "host", str, "request.node"),
            require_field(metadata, "port", int, "request.node"),
        )
        levels = metadata.get("levels", {})
        if not isinstance(levels, dict) or not all(
            type(level) in (int, float) and 0 <= level <= 1 for level in levels.values()
        ):
            raise InvalidDocument("request.node.metadata.levels: is not a map of classes to numbers from 0 to 1")
        self.join_count += 1
        session = self.sessions[proxy] = Session(proxy, request.connection, nonce, address)
        request.connection.on_closed = lambda reason: self._connection_lost(session, reason)
        self.channel.add_proxy(proxy)
        self.core.proxy_joined(self.loop.now(), proxy, bool(metadata.get("fresh", False)), levels)
        self.log.info("proxy_joined", manager=self.name, proxy=proxy)
        self.loop.after(
            JOIN_TIMEOUT_US, lambda: session.ready or self._connection_lost(session, "never read the store")
        )
        self.service.schedule_round()

    def _connection_lost(self, session, reason):
        """Drop the proxy, unless it has another session by now."""
        if self.sessions.get(session.proxy) is session:
            self.drop(session.proxy, reason)

    def handle_acknowledgement(self, request, proxy, data):
        """Accept the acknowledgement of tables that were read (by session nonce) or of a mark (by its number)."""
        session, nonce = self.sessions.get(proxy), require_field(data, "responseNonce", str, "request")
        request.respond(204)
        if session is None or session.connection is not request.connection:
            return
        if "errorDetail" in data:
            self.counts["sets a proxy refused"] += 1
            self.log.error("proxy_refused_set", manager=self.name, proxy=proxy, problem=str(data["errorDetail"])[:200])
        if nonce == session.nonce and not session.ready:
            session.ready = True
            session.client = Client(
                self.loop, session.address, on_closed=lambda reason: self._connection_lost(session, f"push: {reason}")
            )
            self._push_next(session)
        elif nonce.isdigit() and "errorDetail" not in data:
            self.core.mark_acknowledged(self.loop.now(), proxy, int(nonce))
            self.service.schedule_round()

    def drop_all(self, reason):
        """End all sessions."""
        for proxy in list(self.sessions):
            self.drop(proxy, reason)

    def figures(self):
        """Counters for the last log line and for measurements."""
        return {
            "lines_sent": self.channel.lines_sent,
            "lines_longest": self.channel.peak_waiting_lines,
            "refused": self.channel.refused,
            "joins": self.join_count,
            "reads_put_off": self.read_budget.put_off,
        }
