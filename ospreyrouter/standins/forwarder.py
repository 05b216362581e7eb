"""The base of stand-ins that forward transactions: random choice by weight, further tries, ejection of failing workers.

Subclasses (`Proxy`, `Balancer`) supply the tables and report to the managers. Times are microseconds of the loop.
"""

import hashlib
from collections import defaultdict
from random import Random

from ..web import Client, Server
from ..xds.reports import ORCA_HEADER, parse_orca

EJECT_AFTER, EJECT_US = 8, 3_000_000  # consecutive failed tries of a worker, and how long it is avoided then
HOLD_US = 500_000  # how long a transaction waits for a worker while its slice has none
MAX_POOLED_CONNECTIONS = 64  # idle connections to a worker
FURTHER_TRIES = {"none": 0, "proven": 1, "once": 1, "twice": 2}  # by retry policy


def slice_of_key(key, slices):
    """The slice of a key, by a hash that all proxies share."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big") % slices


def is_admitted(transaction, level):
    """Whether a transaction is admitted at an admission level of 0 to 1; the same for all tries of the transaction."""
    return int.from_bytes(hashlib.blake2b(transaction.encode(), digest_size=4).digest(), "big") / 2**32 < level


class ForwardedTransaction:
    """A transaction that has been admitted and not yet answered; `deadline` is in microseconds."""

    __slots__ = ("request", "received_headers", "slice_index", "tried", "attempt", "done", "deadline", "client")

    def __init__(self, request, received_headers, slice_index, deadline):
        self.request, self.received_headers, self.slice_index, self.deadline = (
            request,
            received_headers,
            slice_index,
            deadline,
        )
        self.tried, self.attempt, self.done, self.client = set(), 0, False, None


class Forwarder:
    """Serves transactions on `address` and forwards each to a worker of its slice.

    Subclasses implement usable_lines(slice), admission_level(slice, class), retry_policy(slice, class) and the
    recording of demand and tries: record_demand, record_refusal, record_loss, record_try_start and record_try_end.
    """

    def __init__(self, loop, setup, name, address, seed):
        self.loop, self.setup, self.name = loop, setup, name
        self.rng = Random(f"{name}/{seed}")
        # By worker: idle connections, consecutive failures, and the end of its ejection. Then the waiting transactions.
        self.pools, self.failures, self.ejected_until, self.held = defaultdict(list), defaultdict(int), {}, []
        self.server = Server(loop, address, self._request, max_connections=8192)
        self.address = self.server.address

    def release(self):
        """Try the transactions again that found no worker, after a change of the tables."""
        held, self.held = self.held, []
        for transaction in held:
            self._try(transaction)

    def _request(self, request):
        received_headers = request.headers
        slice_index = slice_of_key(received_headers["x-key"], self.setup.slices)
        self.record_demand(slice_index, received_headers["x-class"])
        if not is_admitted(
            received_headers["x-transaction"], self.admission_level(slice_index, received_headers["x-class"])
        ):
            self.record_refusal(slice_index, received_headers["x-class"])
            request.respond(429)
            return
        self._try(
            ForwardedTransaction(
                request, received_headers, slice_index, self.loop.now() + int(received_headers["x-timeout-us"])
            )
        )

    def _pick(self, transaction):
        now = self.loop.now()
        lines = [line for line in self.usable_lines(transaction.slice_index) if line.worker not in transaction.tried]
        # Ejected workers are used if there is no other.
        candidates = [line for line in lines if self.ejected_until.get(line.worker, 0) <= now] or lines
        if not candidates:
            return None
        return self.rng.choices(candidates, [line.weight for line in candidates])[0]

    def _try(self, transaction):
        line = self._pick(transaction)
        if line is None:
            if transaction.attempt:
                transaction.request.respond(502)
            elif self.loop.now() > transaction.deadline - int(transaction.received_headers["x-timeout-us"]) + HOLD_US:
                transaction.request.respond(503)
            elif transaction not in self.held:
                self.held.append(transaction)
                self.loop.after(
                    HOLD_US,
                    lambda: (
                        transaction in self.held and (self.held.remove(transaction), transaction.request.respond(503))
                    ),
                )
            return
        transaction.attempt += 1
        transaction.tried.add(line.worker)
        began_us, received_headers = self.loop.now(), transaction.received_headers
        pool = self.pools[line.worker]
        client = None
        while pool and client is None:
            client = pool.pop()
            client = None if client.closed or client.address != (line.host, line.port) else client
        client = client or Client(self.loop, (line.host, line.port), 300_000)
        headers = [
            (name, received_headers[name]) for name in ("x-class", "x-key", "x-work-us", "x-try", "x-transaction")
        ]
        headers += [("x-proxy", self.name), ("x-slice", str(transaction.slice_index)), ("x-sent-us", str(began_us))]
        policy = self.retry_policy(transaction.slice_index, transaction.received_headers["x-class"])
        if policy in ("once", "twice") and transaction.attempt <= FURTHER_TRIES[policy]:
            # A try that another one may follow ends early enough to leave time for that.
            quoted_time_s = next(
                settings.quoted_s for settings in self.setup.classes if settings.name == received_headers["x-class"]
            )
            try_deadline = min(transaction.deadline, began_us + round(quoted_time_s * 1.2e6))
        else:
            try_deadline = transaction.deadline
        self.record_try_start(transaction.slice_index, line.worker)
        client.send_request(
            "POST",
            "/t",
            headers,
            b"",
            lambda response: self._answered(transaction, line, client, began_us, response),
            max(1000, try_deadline - began_us),
        )
        # When the client closes its connection, the try at the worker is cancelled, as its answer is no longer needed.
        transaction.client = client
        transaction.request.connection.on_closed = lambda _: (
            transaction.client.closed or transaction.client.abort("cancelled")
        )

    def _answered(self, transaction, line, client, began_us, response):
        transaction.request.connection.on_closed = None
        succeeded = response.status == 200
        self.record_try_end(
            transaction.slice_index,
            line.worker,
            succeeded,
            self.loop.now() - began_us,
            parse_orca(response.headers.get(ORCA_HEADER)),
        )
        if succeeded:
            self.failures[line.worker] = 0
        else:
            self.failures[line.worker] += 1
            if self.failures[line.worker] >= EJECT_AFTER:
                self.failures[line.worker], self.ejected_until[line.worker] = 0, self.loop.now() + EJECT_US
        if not client.closed and response.status and len(self.pools[line.worker]) < MAX_POOLED_CONNECTIONS:
            self.pools[line.worker].append(client)
        if succeeded:
            transaction.request.respond(200)
        elif self._may_try_again(transaction, response) and transaction.request.connection.open:
            self._try(transaction)
        else:
            if transaction.request.connection.open:
                self.record_loss(transaction.slice_index, transaction.received_headers["x-class"])
            transaction.request.respond(504 if response.status == 0 else response.status)

    def _may_try_again(self, transaction, response):
        policy = self.retry_policy(transaction.slice_index, transaction.received_headers["x-class"])
        if self.loop.now() >= transaction.deadline or transaction.attempt > FURTHER_TRIES[policy]:
            return False
        not_executed = (
            response.status == 0
            and not response.sent
            or response.status == 503
            and not self.setup.rules.full_may_have_run
        )
        return not_executed if policy in ("none", "proven") else True
