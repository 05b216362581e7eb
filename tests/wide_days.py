"""Simulated days with more kinds of faults than those of `drain_days`, drawn from a seed and played in virtual time.

    python -m tests.wide_days 200        # seeds 0 to 199; prints the rules that each day broke, exits 1 if any did
    python -m tests.wide_days 17 --trace # one seed, with a trace of the first drain that was late

A day is a list of scheduled events, drawn first; the rate and the queue limit of its channel are computed from them.
`Reference` models an ideal manager that knows all events in advance. On a channel that is slower than the day's by a
factor drawn from `CHANNEL_LOAD` it withdraws every draining server in time, and on the day's own channel it also
corrects all tables in time, so that no proxy is left without a selectable worker. The queue limit is at least twice the
ideal manager's longest message, as the requirements state, at least the most lines that it lets wait, and at least the
lines of one second.
"""

import json
import sys
from dataclasses import dataclass, field
from random import Random

from ospreyrouter.node.service import Service
from ospreyrouter.node.start import StartParameters

from .channel import ChannelRelay, SendRate, SlowSpan
from .channel_trace import TimedLog, TracedRelay, format_trace
from .peers import DISCOVERY_ADDRESS, MANAGER_ADDRESS, RELAY_ADDRESS, SECOND, ServiceHarness, list_entry, make_settings
from .starvation import StarvationMeter

SLACK_S = 0.3  # allowed on sockets beside the limits on drains and on proxies without a selectable worker
MAX_LIST_DELAY_S = 6.0  # a change of the worker list counts as sent to the manager after this time at the latest
FIRST_EVENT_S, SETTLE_S = 3.0, 10.0  # before the first event; after the last one
START_GRACE_S = 1.0  # time limits begin no sooner than this after the manager's first answer
NEWS_BREAK_PAUSE_S = 4.0  # time limits are paused for this long when the news stream breaks
SAMPLE_INTERVAL_S = 0.05  # between two checks for proxies without a selectable worker
HEAD_LINES, MARK_LINES = 16, 1
LINES_PER_SLICE = 5  # to take a server out of the tables: for each slice of its own and each at which it lingers
TABLE_CLEANUP_S = (
    2.5  # a slice needs a selectable worker, and departed servers have to be out of the tables, within this
)
CHANNEL_LOAD = 0.3, 0.8  # least and largest part of its channel's rate that a day needs
MAX_SERVER_NUMBER = 250


class DiscoveryAgent:
    """Discovery's agent: sends each watch the entries that changed since its last one, and nothing while `silent`.

    `entries` is the initial worker list. `on_sent(entry)` is called once a change has been written to the manager, or
    `MAX_LIST_DELAY_S` after the change if it could not be written before.
    """

    def __init__(self, loop, entries, on_sent, address=DISCOVERY_ADDRESS):
        self.loop, self.on_sent, self.silent, self.seq, self.sent_seq = loop, on_sent, False, 1, 1
        self.entries = {entry["host"]: entry for entry in entries}
        self.changed_seq = dict.fromkeys(self.entries, 1)
        self.unsent, self.watches = {}, {}  # host: seq; stream: [seq that it has, whether the response has begun]
        self.listener = loop.listen(address, self._accepted)
        loop.after(2 * SECOND, self._send_heartbeats)

    def _send_heartbeats(self):
        if not self.silent:
            for stream in list(self.watches):
                self._write(stream, "\n")
        self.loop.after(2 * SECOND, self._send_heartbeats)

    def _accepted(self, stream):
        request = [b""]

        def on_data(data):
            request[0] += data
            if request[0].endswith(b"\r\n\r\n"):
                since = int(request[0].decode().split(" ")[1].rpartition("since=")[2])
                request[0] = b""
                self.watches[stream] = [since, False]
                self.flush()

        stream.start(on_data, lambda reason: self.watches.pop(stream, None))

    def change(self, *entries):
        """Changes these entries of the list and sends them to the open watches."""
        self.seq += 1
        for entry in entries:
            self.entries[entry["host"]] = entry
            self.changed_seq[entry["host"]] = self.unsent[entry["host"]] = self.seq
        self.loop.after(int(MAX_LIST_DELAY_S * SECOND), lambda seq=self.seq: self._mark_sent(seq))
        self.flush()

    def _mark_sent(self, seq):
        self.sent_seq = max(self.sent_seq, seq)
        for host in [host for host, entry_seq in self.unsent.items() if entry_seq <= seq]:
            del self.unsent[host]
            self.on_sent(self.entries[host])

    def resume(self):
        """Ends the silence and sends what changed meanwhile."""
        self.silent = False
        self.flush()

    def flush(self):
        """Sends each open watch what it has not been sent yet."""
        if self.silent:
            return
        for stream, watch in list(self.watches.items()):
            since, begun = watch
            if not begun:
                stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._write(stream, "\n")
            entries = [self.entries[host] for host, entry_seq in self.changed_seq.items() if entry_seq > since]
            if entries:
                self._write(stream, json.dumps({"seq": self.seq, "whole": False, "hosts": entries}) + "\n")
            self.watches[stream] = [self.seq, True]
        if self.watches:
            self._mark_sent(self.seq)

    @staticmethod
    def _write(stream, text):
        stream.write(f"{len(text):x}\r\n{text}\r\n".encode())


@dataclass
class ScheduledEvent:
    """`action()` is called at `at_s`, in seconds since the day began.

    The other fields tell `Reference` which orders the event requires.
    """

    at_s: float
    action: object
    drained_servers: int = 0
    has_arrivals: bool = False  # proxies join or slices are granted, so that earlier withdrawals have to be repeated
    granted_slices: int = 0
    call_in_doubt: bool = False  # the outcome of the next call is unknown, so that it has to be repeated


@dataclass
class Day:
    """The drawn parameters of a day, its events and its faults."""

    proxies: int
    slices: int
    workers: int
    grace_s: float
    transit_s: float
    length_s: float
    events: list = field(default_factory=list)
    slow_spans: list = field(default_factory=list)  # (begin_s, end_s, factor)
    calls_accepted_from_s: float = 0.0
    troubles: list = field(default_factory=list)

    @property
    def usable_s(self):
        """The part of the drain grace that is left after a message's longest transit and the time that a call takes."""
        return self.grace_s + SLACK_S - 2.0 * self.transit_s - 0.1


@dataclass
class DepartedServers:
    """Servers that have left and are still in tables, with the number of lines that remove them and their deadline."""

    servers: int
    lines: float
    due_s: float


class Reference:
    """An ideal manager that knows all events in advance, on the day's channel; a day that it can keep is feasible.

    It withdraws a draining server at once. When proxies join or slices are granted, it withdraws all departed servers
    that are still in tables once more within a third of the usable time, or together with a drain if one comes before.
    After a call in doubt it sends the message twice. While nothing waits it removes departed servers from the tables,
    in small messages. Its time is that of the rules' limits, which count more slowly while the channel is slow.
    """

    def __init__(self, day):
        self.day, self.usable_s = day, day.usable_s
        slow_spans = [SlowSpan(int(begin * SECOND), int(end * SECOND), factor) for begin, end, factor in day.slow_spans]
        send_rate = SendRate(1.0, slow_spans)
        self.timed_events = [
            (send_rate.full_us(0, int(max(event.at_s, day.calls_accepted_from_s) * SECOND)) / SECOND, event)
            for event in day.events
            if event.drained_servers or event.has_arrivals or event.call_in_doubt
        ]
        self.timed_events.sort(key=lambda pair: pair[0])
        self.peak_waiting_lines = self.longest_message = 0.0

    def is_feasible(self, lines_per_s, clean_tables=False):
        """Whether every message leaves in time and, with `clean_tables`, tables are corrected within `TABLE_CLEANUP_S`.

        Sets `peak_waiting_lines` and `longest_message`, in lines.
        """
        self.rate, self.channel_free_s, self.peak_waiting_lines, self.longest_message = lines_per_s, 0.0, 0.0, 0.0
        self.departed, self.in_doubt, self.tables_in_time = [], False, True
        repeat_s, repeat_due_s = None, None
        for at_s, event in [*self.timed_events, (float("inf"), None)]:
            while repeat_s is not None and repeat_s <= at_s:
                self._clean_tables(repeat_s)
                if not self._send_withdrawals(repeat_s, self._departed_count(), repeat_due_s):
                    return False
                repeat_s = None
            self._clean_tables(at_s)
            if clean_tables and not self.tables_in_time:
                return False
            if event is None:
                return True
            self.in_doubt |= event.call_in_doubt
            if event.drained_servers:
                repeated = self._departed_count() if repeat_s is not None else 0
                due_s = at_s + self.usable_s if repeat_s is None else min(repeat_due_s, at_s + self.usable_s)
                if not self._send_withdrawals(at_s, event.drained_servers + repeated, due_s):
                    return False
                repeat_s = None
                lines_per_server = LINES_PER_SLICE * self.day.slices / self.day.workers
                self.departed.append(
                    DepartedServers(
                        event.drained_servers, lines_per_server * event.drained_servers, at_s + TABLE_CLEANUP_S
                    )
                )
            if event.granted_slices:
                self.departed.append(
                    DepartedServers(0, LINES_PER_SLICE * event.granted_slices / 2, at_s + TABLE_CLEANUP_S)
                )
            if event.has_arrivals and repeat_s is None and self.departed:
                repeat_s, repeat_due_s = at_s + self.usable_s / 3, at_s + self.usable_s
        return True

    def _departed_count(self):
        return sum(group.servers for group in self.departed)

    def _send_withdrawals(self, at_s, lines, due_s):
        """Queues a message of this many lines to all proxies; returns whether it has left by `due_s`."""
        if not lines:
            return True
        message_lines = (HEAD_LINES + MARK_LINES + 1 + lines) * self.day.proxies * (2 if self.in_doubt else 1)
        self.in_doubt = False
        self.channel_free_s = max(self.channel_free_s, at_s) + message_lines / self.rate
        self.longest_message = max(self.longest_message, message_lines)
        self.peak_waiting_lines = max(self.peak_waiting_lines, (self.channel_free_s - at_s) * self.rate)
        return self.channel_free_s <= due_s

    def _clean_tables(self, until_s):
        """Sends table changes while nothing else waits, in messages small enough not to delay the next drain much."""
        min_lines = (HEAD_LINES + MARK_LINES + 1 + 8) * self.day.proxies
        max_lines = max(min_lines, 0.15 * self.usable_s * self.rate)
        while self.departed and self.channel_free_s < until_s:
            capacity = int(max_lines / self.day.proxies) - HEAD_LINES - MARK_LINES - 1
            group = self.departed[0]
            sent_lines = min(capacity, group.lines)
            group.lines -= sent_lines
            self.channel_free_s += (HEAD_LINES + MARK_LINES + 1 + sent_lines) * self.day.proxies / self.rate
            if group.lines <= 0:
                self.departed.pop(0)
                self.tables_in_time &= self.channel_free_s <= group.due_s

    def min_rate(self, clean_tables=False):
        """The rate in lines per second of the slowest channel on which the day is feasible, to within 1%."""
        low, high = 1.0, 1e7
        while high > 1.01 * low:
            middle = (low * high) ** 0.5
            low, high = (low, middle) if self.is_feasible(middle, clean_tables) else (middle, high)
        return high


class WideDay:
    """One seed's day: draws its events, computes its channel and plays it against the service in virtual time.

    `channel_load` is the (least, largest) part of the channel's rate that the day needs.
    """

    def __init__(self, seed, relay_type=ChannelRelay, channel_load=CHANNEL_LOAD):
        self.rng = Random(f"wide {seed}")
        self.draw()
        reference = Reference(self.day)
        self.channel_load = self.rng.uniform(*channel_load)
        lines_per_s = max(reference.min_rate() / self.channel_load, reference.min_rate(clean_tables=True))
        reference.is_feasible(lines_per_s)
        queue_limit = max(
            lines_per_s * self.rng.uniform(1.0, 2.0), 2.0 * reference.longest_message, reference.peak_waiting_lines
        )
        self.build(relay_type, round(lines_per_s), round(queue_limit))

    # Drawing the day.

    def draw(self):
        """Draws the day's parameters, its drains and its faults."""
        rng, large = self.rng, self.rng.random() < 0.3
        self.day = day = Day(
            proxies=rng.randint(200, 400) if large else rng.randint(30, 200),
            slices=rng.randint(30, 60) if large else rng.randint(30, 120),
            workers=rng.randint(20, 60),
            grace_s=rng.uniform(2.0, 3.0),
            transit_s=rng.uniform(0.1, 0.25),
            length_s=rng.uniform(10, 16),
        )
        self.initial_servers, self.last_server_number = list(range(1, day.workers + 1)), day.workers
        self.initial_slices = day.slices // rng.choice([1, 1, 2, 3])
        self.drain_times_s = []
        probabilities = {
            "restarting": 0.4,
            "streams": 0.4,
            "herd": 0.3,
            "given": 0.5,
            "doubt": 0.35,
            "news": 0.2,
            "throttled": 0.12,
            "slow": 0.2,
            "deaf": 0.3,
            "reports": 0.35,
            "restart": 0.15,
        }
        self.draw_drains()
        for trouble, probability in probabilities.items():
            if rng.random() < probability:
                day.troubles.append(trouble)
                getattr(self, f"draw_{trouble}")()
        day.events.sort(key=lambda event: event.at_s)

    def schedule(self, at_s, action, **effects):
        """Adds an event; `effects` are the other fields of `ScheduledEvent`."""
        self.day.events.append(ScheduledEvent(at_s, action, **effects))

    def draw_drains(self):
        """Batches of servers that drain; some are replaced by cold new ones, some return under their names and drain
        again."""
        rng, day = self.rng, self.day
        batch_size, at_s = rng.randint(1, max(1, day.workers // 6)), FIRST_EVENT_S + rng.uniform(0, 0.5)
        interval_s = rng.choice([0.6, 1.2, 2.4, 4.0])
        replaced, returns, leaves = rng.random() < 0.5, rng.random() < 0.4, rng.random() < 0.5
        remaining = list(self.initial_servers)
        while at_s < FIRST_EVENT_S + day.length_s and len(remaining) > max(4, day.workers // 4):
            numbers, remaining = remaining[:batch_size], remaining[batch_size:]
            self.schedule_drain(at_s, numbers)
            if replaced and self.last_server_number + batch_size < MAX_SERVER_NUMBER:
                added = list(range(self.last_server_number + 1, self.last_server_number + batch_size + 1))
                self.last_server_number += batch_size
                self.schedule(at_s + rng.uniform(0, 1), lambda added=added: self.change("active", added, born=True))
                remaining += added
            elif returns:
                return_s = at_s + rng.uniform(1.0, 5.0)
                self.schedule(return_s, lambda numbers=numbers: self.change("active", numbers, born=True))
                if rng.random() < 0.5:
                    self.schedule_drain(return_s + rng.uniform(0.2, 2.5), numbers)
                    self.schedule(return_s + 4.0, lambda numbers=numbers: self.change("active", numbers, born=True))
                remaining += numbers
            elif leaves:
                self.schedule(at_s + rng.uniform(1, 5), lambda numbers=numbers: self.change("left", numbers))
            at_s += interval_s * rng.uniform(0.7, 1.3)

    def schedule_drain(self, at_s, numbers):
        """Schedules the drain of these servers."""
        self.drain_times_s.append(at_s)
        self.schedule(at_s, lambda: self.change("leaving", numbers), drained_servers=len(numbers))

    def draw_restarting(self):
        """Proxies restart one after another."""
        self.schedule_reconnections(self.rng.choice([0.1, 0.2, 0.5]), restarted=True)

    def draw_streams(self):
        """Streams of proxies break one after another; the proxies keep running."""
        self.schedule_reconnections(self.rng.choice([0.1, 0.2, 0.5]), restarted=False)

    def schedule_reconnections(self, interval_s, restarted):
        """A proxy disconnects about every `interval_s` and returns a little later, restarted or as it was."""
        rng, at_s = self.rng, FIRST_EVENT_S + self.rng.uniform(0, 2)
        until_s = FIRST_EVENT_S + self.day.length_s
        while at_s < until_s:
            pick, noticed_after_s = rng.random(), 0.0 if restarted else rng.choice([0.0, rng.uniform(0.3, 2.6)])
            return_s = at_s + rng.uniform(0.2, 1.5)
            self.schedule(
                at_s,
                lambda pick=pick, noticed_after_s=noticed_after_s: self.disconnect_proxy(pick, noticed_after_s),
            )
            # A proxy whose stream broke before it acknowledged everything has to be sent again what it may have missed.
            self.schedule(return_s, lambda restarted=restarted: self.reconnect_proxy(restarted), has_arrivals=True)
            at_s += interval_s * rng.uniform(0.7, 1.3)

    def draw_herd(self):
        """Many proxies disconnect at once and return a few at a time."""
        rng, at_s = self.rng, FIRST_EVENT_S + self.rng.uniform(0, self.day.length_s * 0.7)
        restarted, away_s = rng.random() < 0.5, rng.uniform(0.3, 3.0)
        spread_s, count = rng.uniform(0.05, 1.5), int(self.day.proxies * rng.uniform(0.2, 0.9))
        for _ in range(count):
            pick = rng.random()
            self.schedule(at_s, lambda pick=pick: self.disconnect_proxy(pick, 0.0))
            self.schedule(
                at_s + away_s + rng.uniform(0, spread_s), lambda: self.reconnect_proxy(restarted), has_arrivals=True
            )

    def draw_given(self):
        """The slices that the manager does not own yet are granted to it around a drain, a few at a time."""
        rng, at_s = self.rng, self.rng.choice(self.drain_times_s) + self.rng.uniform(-0.2, 0.3)
        batch_size = rng.choice([2, 6, self.day.slices])
        for first in range(self.initial_slices, self.day.slices, batch_size):
            tables = range(first, min(self.day.slices, first + batch_size))
            self.schedule(
                at_s, lambda tables=tables: self.grant_slices(tables), has_arrivals=True, granted_slices=len(tables)
            )
            at_s += 0.02

    def draw_doubt(self):
        """Calls to the relay whose outcome the manager does not learn, around drains."""
        for _ in range(self.rng.randint(1, 4)):
            at_s = self.rng.choice(self.drain_times_s) + self.rng.choice([-0.001, 0.0, self.rng.uniform(0, 1)])
            outcome = self.rng.choice(["lost", "done", "mute", "malformed"])
            self.schedule(at_s, lambda outcome=outcome: self.relay.call_outcomes.append(outcome), call_in_doubt=True)

    def draw_news(self):
        """The news stream of the relay breaks around a drain."""
        for _ in range(self.rng.randint(1, 2)):
            at_s = self.rng.choice(self.drain_times_s) + self.rng.uniform(-0.1, 0.3)
            self.schedule(at_s, self.break_news, has_arrivals=True)

    def draw_throttled(self):
        """The relay rejects all calls until about the first drain."""
        self.day.calls_accepted_from_s = self.drain_times_s[0] + self.rng.uniform(-0.2, 2.0)

    def draw_slow(self):
        """The channel is slower than stated for some seconds."""
        begin_s = FIRST_EVENT_S + self.rng.uniform(0, self.day.length_s * 0.6)
        end_s = begin_s + self.rng.uniform(3, 8)
        self.day.slow_spans.append((begin_s, end_s, self.rng.uniform(2.1, 5.0)))

    def draw_deaf(self):
        """Discovery's agent sends nothing for some seconds around a drain."""
        for _ in range(self.rng.randint(1, 2)):
            begin_s = self.rng.choice(self.drain_times_s) + self.rng.uniform(-0.5, 0.2)
            end_s = begin_s + self.rng.uniform(1, 5)
            self.schedule(begin_s, self.silence_agent)
            self.schedule(end_s, self.resume_agent)
            # Changes of the list during the silence are sent at its end.
            for event in self.day.events:
                if event.drained_servers and begin_s <= event.at_s < end_s:
                    self.schedule(end_s, lambda: None, drained_servers=event.drained_servers)

    def draw_reports(self):
        """A collector reports demand and tries every half second, with slices of high demand among them."""
        self.day.troubles.append("hot")
        at_s = 1.0
        while at_s < FIRST_EVENT_S + self.day.length_s + SETTLE_S:
            self.schedule(at_s, self.report)
            at_s += 0.5

    def draw_restart(self):
        """The manager ends and starts again; its proxies reconnect to it a few at a time."""
        at_s = FIRST_EVENT_S + self.rng.uniform(1, self.day.length_s)
        away_s = self.rng.uniform(0.7, 2.5)
        self.schedule(at_s, lambda: self.end_manager(away_s))
        self.schedule(at_s + away_s, self.start_manager, has_arrivals=True)
        for _ in range(self.day.proxies):
            self.schedule(
                at_s + away_s + self.rng.uniform(0.05, 1.5), lambda: self.reconnect_proxy(False), has_arrivals=True
            )

    # The service under test and its peers.

    def build(self, relay_type, lines_per_s, queue_limit):
        """Builds the service with its peers; the rate is in lines per second, the limit in lines."""
        day = self.day
        self.manager_settings = make_settings(
            day.slices,
            day.proxies,
            EgressPerS=float(lines_per_s),
            QueueCap=float(queue_limit),
            PushDelayS=day.transit_s,
            TransitMaxS=2.5 * day.transit_s,
        )
        self.manager_settings["Rules"]["DrainGraceS"] = day.grace_s
        start_us = 1_000_000_000
        slow_spans = [
            SlowSpan(start_us + int(begin * SECOND), start_us + int(end * SECOND), factor)
            for begin, end, factor in day.slow_spans
        ]
        entries = [list_entry(number) for number in self.initial_servers]
        self.harness = ServiceHarness(
            workers=self.last_server_number,
            known=(1, True, entries),
            settings=self.manager_settings,
            relay_type=relay_type,
            setup=self.manager_settings["FamilyInfo"],
            slices={slice_index: self.table(slice_index) for slice_index in range(self.initial_slices)},
            grace_us=int((day.grace_s + SLACK_S) * SECOND),
            proxies=range(day.proxies),
            slow_spans=slow_spans,
            pause_limits_in_doubt=True,
        )
        self.relay, self.network = self.harness.relay, self.harness.network
        self.relay.max_store_read_us = self.rng.choice([0, 300_000, 1_000_000])
        self.begun_at = self.network.time
        self.harness.discovery.listener.close()
        self.sent_entries = {entry["host"]: entry for entry in entries}
        self.agent = DiscoveryAgent(self.harness.remote, entries, self.entry_sent)
        self.harness.service.watch.clock_ms = self.now_ms
        self.relay.clock.pause(int(START_GRACE_S * SECOND))
        if day.calls_accepted_from_s:
            self.relay.accepts_calls_from = self.begun_at + int(day.calls_accepted_from_s * SECOND)
            self.relay.clock.pause(int(day.calls_accepted_from_s * SECOND))
        self.disconnected, self.faults, self.collector = [], 0, None
        self.starvation = StarvationMeter(self.relay)

    def now_ms(self):
        """The virtual time in milliseconds."""
        return self.network.time // 1000

    def table(self, slice_index):
        """The initial table of a slice: a worker with the full weight and, if it is another one, a lingering one."""
        main, lingering = (self.initial_servers[slice_index * step % len(self.initial_servers)] for step in (1, 7))
        return {f"s-{main}": 1.0} | ({f"s-{lingering}": 0.01} if lingering != main else {})

    def change(self, state, numbers, born=False):
        """Changes the state of these servers in the list; with `born` they count as started just now."""
        born_ms = [self.agent.entries.get(f"s-{number}", {}).get("born_ms", 0) for number in numbers]
        self.agent.change(
            *(
                list_entry(number, state, self.now_ms() if born else previous_ms)
                for number, previous_ms in zip(numbers, born_ms, strict=True)
            )
        )

    def entry_sent(self, entry):
        """Records that this entry of the list has been sent to the manager."""
        host = entry["host"]
        self.sent_entries[host] = entry
        if entry["health"] == "active":
            self.relay.mark_ready(host)
        else:
            self.relay.mark_draining([host])

    def disconnect_proxy(self, pick, noticed_after_s):
        """`pick`: position of the proxy among the connected ones, from 0 to 1."""
        if self.relay.proxies:
            proxy = sorted(self.relay.proxies)[int(pick * len(self.relay.proxies))]
            self.relay.leave(proxy, int(noticed_after_s * SECOND))
            self.disconnected.append(proxy)

    def reconnect_proxy(self, restarted):
        """Reconnects the proxy that has been away longest, if there is one."""
        if self.disconnected:
            proxy = self.disconnected.pop(0)
            (self.relay.join if restarted else self.relay.rejoin)(proxy)

    def grant_slices(self, slice_indices):
        """Grants these slices to the manager, with tables of servers drawn from those that have not left."""
        hosts = [host for host, entry in self.agent.entries.items() if entry["health"] != "left"]
        rng = Random(slice_indices[0])
        self.relay.grant(
            {slice_index: {rng.choice(hosts): 1.0} | {rng.choice(hosts): 0.01} for slice_index in slice_indices}
        )

    def break_news(self):
        """Breaks the news streams; time limits are paused if there are any."""
        streams = list(self.relay.news_streams)
        if streams:
            self.relay.clock.pause(int(NEWS_BREAK_PAUSE_S * SECOND))
        for stream in streams:
            stream.abort()

    def silence_agent(self):
        """Discovery's agent sends nothing until `resume_agent`."""
        self.agent.silent = True

    def resume_agent(self):
        """Ends the silence of discovery's agent."""
        self.agent.resume()

    def report(self):
        """Reports of a collector: demand that moves between slices, and servers that fail for a while."""
        if self.collector is None or self.collector.ended:
            self.collector = self.harness.connect({"msg": "SOURCE", "az": "a"})
            return
        if self.collector.stream is None:
            return
        span = int((self.network.time - self.begun_at) / SECOND / 4)
        demand_rng, failure_rng = Random(f"hot {span}"), Random(f"bad {span}")
        slice_indices = sorted(self.relay.slices)
        heavy = set(demand_rng.sample(slice_indices, max(1, len(slice_indices) // 8)))
        failing = set(failure_rng.sample(sorted(self.sent_entries), 2))
        load = {}
        for slice_index in slice_indices:
            count = (30 if slice_index in heavy else 4) + self.rng.randint(0, 3)
            self.collector.send(
                {"msg": "SHARD", "partition": slice_index, "kind": "order", "n": count, "bad": 0, "window": 500.0}
            )
            total_weight = sum(self.relay.slices[slice_index].values()) or 1.0
            for host, weight in self.relay.slices[slice_index].items():
                load[host] = load.get(host, 0.0) + count * weight / total_weight
        for host, count in sorted(load.items()):
            tries = round(count)
            if tries:
                failed = tries // 2 if host in failing else 0
                self.collector.send(
                    {"msg": "LOAD", "az": "a", "host": host, "n": tries, "bad": failed, "avg": 40.0, "window": 500.0}
                )

    def end_manager(self, away_s):
        """Closes the service; its proxies disconnect and time limits are paused while it is away."""
        self.faults += self.harness.counts["faults"]
        self.harness.service.close()
        self.relay.clock.pause(int((away_s + START_GRACE_S) * SECOND))
        for proxy in list(self.relay.proxies):
            self.relay.leave(proxy)
            self.disconnected.append(proxy)
        self.relay.channel_free_at = self.network.time  # the messages that wait in the channel are lost

    def start_manager(self):
        """Starts the service anew with the list that the agent has sent so far."""
        known = (self.agent.sent_seq, True, list(self.sent_entries.values()))
        self.relay.fresh_in_snapshot = 0
        for host in list(self.relay.draining_since):
            self.relay.draining_since[host] = self.relay.clock.now()
        self.relay.mark_draining(self.relay.draining_since)
        parameters = StartParameters(
            "n0", MANAGER_ADDRESS, DISCOVERY_ADDRESS, RELAY_ADDRESS, 6, 256, known, self.manager_settings
        )
        harness = self.harness
        harness.service = Service(
            harness.host, parameters, harness.name_index, lambda event, **fields: harness.logged.append((event, fields))
        )
        harness.service.watch.clock_ms = self.now_ms
        harness.manager, harness.counts = harness.service.manager, harness.service.counts

    # Playing the day and checking the rules.

    def play(self):
        """Plays the day; returns the broken rules as texts, an empty list if there are none."""
        for event in self.day.events:
            self.harness.remote.at(self.begun_at + int(event.at_s * SECOND), event.action)
        end_s = max(FIRST_EVENT_S + self.day.length_s, *(event.at_s for event in self.day.events)) + SETTLE_S
        while self.network.time < self.begun_at + end_s * SECOND:
            self.harness.run(SAMPLE_INTERVAL_S)
            self.starvation.sample(self.has_warm_server())
        return self.broken_rules()

    def has_warm_server(self):
        """Whether the list that the manager has been sent names an active server that is warm."""
        cold_ms = self.manager_settings["Rules"]["ColdS"] * 1000
        return any(
            entry["health"] == "active" and (not entry["born_ms"] or self.now_ms() - entry["born_ms"] >= cold_ms)
            for entry in self.sent_entries.values()
        )

    def held_out(self):
        """Pairs of a proxy and a ready server that is in the proxy's tables and still withdrawn there."""
        ready = {host for host, entry in self.sent_entries.items() if entry["health"] == "active"}
        return sorted(
            (proxy, host)
            for proxy, member in self.relay.members.items()
            for host in ready & member.withdrawn & {name for rows in member.tables.values() for name in rows}
        )

    def broken_rules(self):
        """The rules that have been broken, as texts."""
        broken, late_pairs, family = [], self.relay.late_pairs, self.manager_settings["FamilyInfo"]
        if late_pairs:
            first = min(late_pairs, key=lambda pair: (self.relay.late_since[pair], pair))
            broken.append(f"drain: {len(late_pairs)} times, first of {first}")
        if self.relay.peak_waiting_lines > family["QueueCap"] + 1:
            broken.append(f"queue: {self.relay.peak_waiting_lines:.0f} of {family['QueueCap']:.0f} lines")
        if self.starvation.longest_us > (family["BlackholeS"] + SLACK_S) * SECOND:
            longest_s, pair = self.starvation.longest_us / SECOND, self.starvation.longest_pair
            broken.append(f"no worker: {longest_s:.2f} s, proxy and slice {pair}")
        if held_out := self.held_out():
            broken.append(f"held out: {len(held_out)} times, {held_out[0]}")
        if faults := self.faults + self.harness.counts["faults"]:
            broken.append(f"faults: {faults}")
        return broken

    def figures(self):
        """The day's parameters and faults as text."""
        day, family = self.day, self.manager_settings["FamilyInfo"]
        return (
            f"{day.proxies} proxies, {day.slices} slices, {day.workers} servers, rate {family['EgressPerS']:.0f}, "
            f"limit {family['QueueCap']:.0f}, channel load {self.channel_load:.2f}, grace {day.grace_s:.2f} s, "
            f"transit {day.transit_s:.2f} s, {', '.join(day.troubles) or 'no trouble'}"
        )


def trace(seed):
    """Plays one day and prints a trace of its first late drain, if there is one."""
    day = WideDay(seed, relay_type=TracedRelay)
    day.harness.logged = TimedLog(day.network)
    print(f"seed {seed}: {day.play() or 'kept'}\n{day.figures()}")
    late_pairs = day.relay.late_pairs
    if late_pairs:
        proxy, worker = min(late_pairs, key=lambda pair: (day.relay.late_since[pair], pair))
        print(f"proxy {proxy}, {worker}")
        print("\n".join(format_trace(day, proxy, worker)))


def main(seeds, day_type=WideDay):
    """Plays the days of these seeds and prints the rules that they broke; returns the exit code."""
    failed = 0
    for seed in seeds:
        day = day_type(seed)
        if broken := day.play():
            failed += 1
            print(f"seed {seed}: {'; '.join(broken)} ({day.figures()})", flush=True)
    print(f"{len(seeds) - failed} of {len(seeds)} days kept the rules")
    return 1 if failed else 0


if __name__ == "__main__":
    if sys.argv[2:] == ["--trace"]:
        trace(int(sys.argv[1]))
    else:
        sys.exit(main(range(int(sys.argv[1]))))
