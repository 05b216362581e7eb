"""Stand-ins for the peers of the manager's program, on the real or the virtual loop, and harnesses that run both.

The peers are the relay, discovery's agent, the workers (which answer probes) and the callers of the manager's address.
"""

import json
import unittest

from ospreyrouter.loop import Loop, VirtualNetwork
from ospreyrouter.naming import NameIndex
from ospreyrouter.node.frames import FrameReader, encode_frame
from ospreyrouter.node.service import Service
from ospreyrouter.node.start import StartParameters
from ospreyrouter.web import Server
from ospreyrouter.withdrawals import Withdrawals

from .test_benchlink import PROFILE

SECOND = 1_000_000
LOOPBACK = ("127.0.0.1", 0)
MANAGER_ADDRESS, RELAY_ADDRESS, DISCOVERY_ADDRESS, WORKER_HOST = (
    ("10.0.0.4", 8443),
    ("10.2.0.2", 6400),
    ("10.2.0.1", 8500),
    "10.1.0.{}",
)


def make_settings(slices=2, proxies=4, **family):
    """Settings of a deployment, as in the configuration file; `family` overrides entries of its FamilyInfo."""
    data = json.loads(json.dumps(PROFILE))
    data["FamilyInfo"] |= {"PartitionsN": slices, "ProxyCount": proxies} | family
    return data


def list_entry(number, state="active", born_ms=0, dial=None, **other):
    """An entry of discovery's list for worker `s-{number}`; `other` adds or overrides fields."""
    return {
        "host": f"s-{number}",
        "dial": dial or f"10.1.0.{number}:8443",
        "site": "a",
        "class": "std",
        "block": 0,
        "health": state,
        "share": 1.0,
        "born_ms": born_ms,
    } | other


class StandInRelay:
    """Stand-in for the relay: executes calls and sends news.

    `call_outcomes` determines what happens to each of the next calls; after these, every call succeeds:

    - "ok": the call is executed and answered
    - "lost", "done": the connection breaks before or after the call is executed
    - "mute": the call is not executed and not answered
    - "malformed": the call is executed, but the answer cannot be parsed
    - a number: only that many of its orders are executed, and the answer tells the number
    - "hold": the call is kept in `held` until `release()` executes it
    - any other text: the call is not executed, and the text is the error in the answer

    While `hold_follows` is set, requests for news are kept in `held` as well. `slices` maps each granted slice to its
    weights by worker name. `calls` holds a pair (outcome, orders) for each call.
    """

    def __init__(self, loop, address=RELAY_ADDRESS, proxies=(0, 1), slices=None, call_outcomes=()):
        self.loop, self.address, self.proxies, self.call_outcomes = loop, address, list(proxies), list(call_outcomes)
        self.slices = {0: {"s-1": 1.0}, 1: {"s-2": 1.0}} if slices is None else slices
        self.calls, self.streams, self.news_streams, self.follow_count, self.silent = [], [], [], 0, False
        self.held, self.hold_follows = [], False
        self.fresh_in_snapshot = 1  # flag of each proxy in a snapshot: 1 if it has been restarted
        self.listener = loop.listen(address, self._accepted)
        loop.after(SECOND, self._send_keep_alive)

    def _send_keep_alive(self):
        if not self.silent:
            self.send_news("*")
        self.loop.after(SECOND, self._send_keep_alive)

    def send_news(self, *lines):
        """Send lines, without line ends, on every connection for news."""
        for stream in self.news_streams:
            stream.write("".join(line + "\r\n" for line in lines).encode())

    def _accepted(self, stream):
        partial_line = [b""]

        def on_data(data):
            *lines, partial_line[0] = (partial_line[0] + data).split(b"\r\n")
            for line in lines:
                if not self.silent:
                    self._handle_line(stream, line.decode())

        stream.start(on_data, lambda reason: stream in self.news_streams and self.news_streams.remove(stream))
        self.streams.append(stream)

    def _handle_line(self, stream, line):
        if line == "follow":
            self.follow_count += 1
            if self.hold_follows:
                self.held.append((stream, line))
                return
            stream.write(b"OK\r\n")
            self.news_streams.append(stream)
            lines = [f"* SUBSCRIBE {proxy} a 5.0 {self.snapshot_flag(proxy)}" for proxy in self.proxies]
            for table, rows in self.slices.items():
                lines += [f"* GRANT {table} 1", *(f"* ROW {table} {name} {weight}" for name, weight in rows.items())]
            text = "".join(line + "\r\n" for line in lines).encode()
            for start in range(0, len(text), 37):  # in pieces that end within lines
                stream.write(text[start : start + 37])
            return
        orders = line.removeprefix("txn ").split(";")
        outcome = self.call_outcomes.pop(0) if self.call_outcomes else "ok"
        self.calls.append((outcome, orders))
        if outcome == "hold":
            self.held.append((stream, line))
            return
        executed = outcome if isinstance(outcome, int) else len(orders) if outcome in ("ok", "done", "malformed") else 0
        for order in orders[:executed]:
            self._carry_out(order.split(","))
        if outcome in ("lost", "done"):
            stream.abort()
        elif outcome == "malformed":
            stream.write(b"O\xff3\r\n")
        elif outcome != "mute":
            stream.write(
                f"OK {executed}\r\n".encode()
                if outcome == "ok" or isinstance(outcome, int)
                else f"ERR {outcome}\r\n".encode()
            )

    def snapshot_flag(self, proxy):
        """The flag of a proxy in a snapshot: 1 if it has been restarted, 0 if only its stream broke."""
        return self.fresh_in_snapshot

    def release(self):
        """Handle the held calls and requests for news, in the order of their arrival."""
        held, self.held, self.hold_follows = self.held, [], False
        for stream, line in held:
            self.call_outcomes.insert(0, "ok")
            if line == "follow":
                self.call_outcomes.pop(0)
                self.follow_count -= 1
            else:
                self.calls.pop()
            self._handle_line(stream, line)

    def _carry_out(self, order):
        if order[0] == "share" and int(order[1]) in self.slices:
            rows = self.slices[int(order[1])]
            rows[order[2]] = float(order[3])
            if not rows[order[2]]:
                del rows[order[2]]
        elif order[0] == "mark":
            for proxy in self.proxies:
                self.send_news(f"* ACK {proxy} {order[1]} 200.0")

    def orders(self, kind):
        """All orders so far whose text starts with `kind`, executed or not."""
        return [order for _, orders in self.calls for order in orders if order.startswith(kind)]


class StandInDiscovery:
    """Stand-in for discovery's agent: answers each watch with `lines`, then with what `send_list` sends.

    `since` holds the version with which each watch began. No watch is answered while `silent` is set.
    """

    def __init__(self, loop, address=DISCOVERY_ADDRESS, lines=()):
        self.loop, self.lines, self.since, self.streams, self.silent = loop, list(lines), [], [], False
        self.listener = loop.listen(address, self._accepted)

    def _accepted(self, stream):
        request = [b""]

        def on_data(data):
            request[0] += data
            if not request[0].endswith(b"\r\n\r\n"):
                return
            head = request[0].decode().split(" ")
            request[0] = b""
            self.since.append(int(head[1].rpartition("since=")[2]))
            if not self.silent:
                stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.streams.append(stream)
                for line in self.lines:
                    self._write(stream, line)
                stream.write(b"1\r\n\n\r\n")

        stream.start(on_data, lambda reason: stream in self.streams and self.streams.remove(stream))

    def _write(self, stream, line):
        data = line.encode() + b"\n"
        for chunk in (data[:11], data[11:]):
            stream.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")

    def send_list(self, seq, whole, *rows):
        """Send a whole list or changes of it, with the version `seq`, on every watch; `rows` are list entries."""
        line = json.dumps({"seq": seq, "whole": whole, "hosts": rows})
        for stream in list(self.streams):
            self._write(stream, line)


class Caller:
    """Connects to the manager's address and sends `messages`, each a JSON value for a frame or raw bytes.

    `received` holds the kinds of the messages that came back, `ended` the reason why the connection ended, or None.
    """

    def __init__(self, loop, address, *messages):
        self.received, self.ended, self.stream, self.reader = [], None, None, FrameReader()
        loop.connect(address, SECOND, lambda stream, reason: self._connected(loop, stream, messages))

    def _connected(self, loop, stream, messages):
        self.stream = stream
        if stream is None:
            self.ended = "refused"
            return
        stream.start(
            lambda data: self.received.extend(message["msg"] for message in self.reader.feed(data)),
            lambda reason: setattr(self, "ended", reason),
        )
        self.send(*messages)

    def send(self, *messages):
        """Send more messages."""
        for message in messages:
            self.stream.write(message if isinstance(message, bytes) else encode_frame(message))


class RecordingManager:
    """Stand-in for the manager that records the events it gets and gives no orders."""

    violations, message_counts, rejected_reports = {}, {}, {}

    def __init__(self, setup, seed):
        self.events, self.tables, self.workers = [], {table: {} for table in range(setup.slice_count)}, {}
        self.withdrawals = Withdrawals(setup)

    def round(self, now, round_events, orders):
        """Record events, except for those about the channel, and keep `tables` as a manager does."""
        for name, *values in round_events:
            if name in (
                "channel_stalled",
                "messages_merged",
                "acknowledgements_lost",
                "withdrawal_refused",
            ):
                continue
            self.events.append((name, *values))
            if name == "slice_ownership_changed":
                self.tables[values[0]] = {}
            elif name == "table_line_loaded":
                self.tables[values[0]][values[1]] = values[2]

    def named(self, name):
        """The values of all recorded events of that name."""
        return [event[1:] for event in self.events if event[0] == name]


class ServiceHarness:
    """A service with stand-ins for its peers, in virtual time.

    `manager` replaces the class of the manager, `known` the list that the service knows at its start, `workers` is the
    number of workers, and `relay` are arguments of the stand-in relay, which is a `relay_type`. `logged` holds the log
    as pairs (event, fields). `probe_responses` maps the number of a worker to the status and body of its responses to
    probes; status 0 means no response.
    """

    def __init__(
        self, manager=None, known=None, workers=2, sockets=256, settings=None, relay_type=StandInRelay, **relay
    ):
        self.network, self.logged = VirtualNetwork(seed=3), []
        self.host, self.remote = self.network.host("manager"), self.network.host("far")
        self.relay, self.discovery = relay_type(self.remote, **relay), StandInDiscovery(self.remote)
        self.probe_responses = {}
        for number in range(1, workers + 1):
            Server(
                self.remote,
                (WORKER_HOST.format(number), 8443),
                lambda request, worker=number: self._answer_probe(worker, request),
            )
        self.name_index = NameIndex(settings or make_settings())
        known = (1, True, [list_entry(worker) for worker in range(1, workers + 1)]) if known is None else known
        parameters = StartParameters(
            "n0", MANAGER_ADDRESS, DISCOVERY_ADDRESS, RELAY_ADDRESS, 5, sockets, known, settings or make_settings()
        )
        self.service = Service(
            self.host,
            parameters,
            self.name_index,
            lambda event, **fields: self.logged.append((event, fields)),
            *([manager] if manager else []),
        )
        self.manager, self.counts = self.service.manager, self.service.counts

    def _answer_probe(self, number, request):
        status, body = self.probe_responses.get(number, (200, b'{"inflight":1,"util":0.3,"qps":4.0}'))
        if status:
            request.respond(status, body=body)

    def run(self, seconds):
        """Let time pass; returns this harness."""
        self.network.run(self.network.time + int(seconds * SECOND))
        return self

    def connect(self, *messages, address=MANAGER_ADDRESS):
        """A `Caller` that connects and sends these messages."""
        return Caller(self.remote, address, *messages)


class LiveCase(unittest.TestCase):
    """A test on loopback sockets, with one loop that runs only while the test waits."""

    def setUp(self):
        self.loop = Loop()
        self.addCleanup(self._close, self.loop)

    @staticmethod
    def _close(loop):
        for key in list(loop.selector.get_map().values()):
            if not isinstance(key.fileobj, int):
                key.fileobj.close()
        loop.selector.close()

    def run_for(self, seconds):
        """Run the loop for some time."""
        self.loop.run(self.loop.now() + int(seconds * SECOND))

    def wait_until(self, condition, seconds=10):
        """Run the loop until `condition()` holds; fails if it does not within that time."""
        end = self.loop.now() + seconds * SECOND
        while not condition() and self.loop.now() < end:
            self.loop.run(self.loop.now() + SECOND // 100)
        self.assertTrue(condition())


class LiveServiceHarness:
    """Like `ServiceHarness`, on the loopback sockets of a LiveCase.

    `dials` maps the number of a worker to its address as text.
    """

    def __init__(self, case, manager=RecordingManager, known=None, workers=2, sockets=256, settings=None, **relay):
        self.case, self.loop, self.logged, self.probe_responses = case, case.loop, [], {}
        self.relay, self.discovery = StandInRelay(self.loop, LOOPBACK, **relay), StandInDiscovery(self.loop, LOOPBACK)
        self.dials = {number: self.worker(number) for number in range(1, workers + 1)}
        self.name_index = NameIndex(settings or make_settings())
        known = (1, True, [self.list_entry(number) for number in self.dials]) if known is None else known
        parameters = StartParameters(
            "n0",
            LOOPBACK,
            self.discovery.listener.address,
            self.relay.listener.address,
            5,
            sockets,
            known,
            settings or make_settings(),
        )
        self.service = Service(
            self.loop, parameters, self.name_index, lambda event, **fields: self.logged.append((event, fields)), manager
        )
        self.manager, self.counts = self.service.manager, self.service.counts
        case.addCleanup(self.service.close)

    def worker(self, number):
        """Start a server for worker `number`; returns its address as text."""
        server = Server(self.loop, LOOPBACK, lambda request: self._answer_probe(number, request))
        return "{}:{}".format(*server.listener.address)

    def _answer_probe(self, number, request):
        status, body = self.probe_responses.get(number, (200, b'{"inflight":1,"util":0.3,"qps":4.0}'))
        if status:
            request.respond(status, body=body)

    def list_entry(self, number, state="active", born_ms=0, **other):
        """The list entry of a worker with its actual address."""
        return list_entry(number, state, born_ms, self.dials[number], **other)
