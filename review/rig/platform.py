"""Stand-ins of the platform on loopback sockets: relay and store, proxies, discovery, workers, collectors, clients.

    platform = Platform(record, managers=2, workers=15, slices=71, proxies=9, rate=90.0, family={...})
    await platform.begin()                       # starts the stand-ins and the managers, lets the proxies join
    platform.change_worker("s-03", state="left") # discovery tells the managers
    platform.seats[0].kill(); await platform.seats[0].start()
    await platform.end()

Each manager has a seat: its process (started with `run` of the deploy file), its relay, its discovery agent and its
channel. The store is one for all seats. Proxies follow their tables and the withdrawals of the manager in charge of a
slice; they keep both when a stream breaks, as the wire page says of ENROLLED and SHUTDOWN. Clients send transactions to
proxies, which pick a worker at random by weight. `family` overrides settings of
FamilyInfo. `record` takes lines of text. Times are seconds of `time.monotonic()`.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import defaultdict
from pathlib import Path

from .settings import CLASS_SHARES, CLASSES, ZONES, make_settings

ROOT = Path(__file__).resolve().parents[2]
TICK_S = 0.02
CHECK_S = 0.1  # between two checks of the rules
# The relay answers within 50 ms. Where this process is later than LATE_S, the time limits wait as if the relay had
# fallen silent (PROTOCOL: 1.5 s); later than MOST_LATE_S, and the case can't run.
LATE_S, SILENT_S, MOST_LATE_S = 0.04, 1.5, 1.0
SLACK_S = 0.3  # PROTOCOL: limits are 300 ms longer on sockets
START_GRACE_S = 1.0  # and begin no sooner than 1 s after the manager first answered
REPORT_DELAY_S = (0.22, 1.3)  # brief: sums arrive 220 to 1,300 ms late
STORE_READ_S = (0.16, 0.42)  # site file: sync_ms
REDIAL_S = (0.2, 2.4)  # site file: redial_s
TAKEOVER_S = (0.98, 3.3)  # brief: another manager gets the blocks 0.98 to 3.3 s later
WORK_S = 0.255  # mean work of a transaction, brief: 220 to 290 ms
CORES = 4
NO_LINES = {}
COLD_FROM, COLD_S = 0.2, 17.0  # the settings: it starts at this part of its capacity or more and is warm by then


def frame(message):
    """A message at the manager's address."""
    body = json.dumps(message).encode()
    return len(body).to_bytes(4, "big") + body


def free_port():
    """A loopback port that nobody uses now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Worker:
    """A server of the deployment. `silent`: it takes connections and transactions and answers nothing.

    `born` is None for one that started long ago; its capacity is that of its cores, less while it is cold.
    """

    def __init__(self, name, zone, cell):
        self.name, self.zone, self.cell, self.silent, self.born, self.born_ms = name, zone, cell, False, None, 0
        self.state, self.port, self.changed_seq, self.wrongly_listed = "active", 0, 1, False
        self.recent = []  # (time, work in seconds) of transactions of the last seconds
        self.received, self.arrivals = 0, []  # `arrivals`: times of transactions since it was started in the case

    def restart(self):
        """Its process starts anew, cold."""
        self.born, self.born_ms, self.silent, self.recent = time.monotonic(), int(time.time() * 1000), False, []

    def capacity(self, now, cold_from, cold_s):
        """Seconds of work that it does in a second."""
        part = 1.0 if self.born is None else min(1.0, cold_from + (1.0 - cold_from) * (now - self.born) / cold_s)
        return CORES * part

    async def answer(self, reader, writer):
        """Answer probes."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.silent:
                await reader.read()
                return
            now = time.monotonic()
            work = sum(work for at, work in self.recent if at > now - 1.0)
            load = {
                "util": round(min(1.0, work / self.capacity(now, COLD_FROM, COLD_S)), 3),
                "qps": round(work / WORK_S, 1),
            }
            body = json.dumps(load).encode()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\nconnection: close\r\n\r\n" % len(body) + body)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def row(self):
        """Its row in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": "std-4core",
            "block": self.cell,
            "health": self.state,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


class Proxy:
    """A proxy: its tables and, by seat, its stream and the workers withdrawn by that manager.

    `joined`: {seat: time of joining}. `ordered`: seats whose manager's orders it has had since it started.
    """

    def __init__(self, number, zone):
        self.number, self.zone, self.tables = number, zone, {}
        self.joined, self.withdrawn, self.ordered, self.read_at = {}, defaultdict(set), set(), {}
        self.last_arrival = defaultdict(float)

    def usable(self, table, seat):
        """The lines that it may pick for a slice in the charge of `seat`."""
        return {name: weight for name, weight in self.tables.get(table, {}).items() if name not in self.withdrawn[seat]}


class Seat:
    """The place of one manager on the platform."""

    def __init__(self, platform, number):
        self.platform, self.number, self.name = platform, number, f"n{number}"
        self.process, self.answered_at, self.followers, self.granted_at = None, None, [], {}
        self.channel_free, self.peak_lines, self.levels, self.watches = 0.0, 0.0, set(), []
        self.known, self.told, self.told_since = None, {}, {}  # the list as this manager was told it, and since when
        self.starved, self.overdue, self.collectors, self.run_begun, self.incarnation = {}, {}, [], False, 0
        self.limits_from = 0.0  # the time limits begin no sooner
        self.collector_writers = {}  # by zone

    # The process.

    async def start(self, known=None):
        """Start the manager with the command of the deploy file and wait for its first PONG; the proxies join then."""
        platform = self.platform
        self.incarnation += 1
        known = known or self.known or platform.whole_list()
        if self.incarnation == 1:
            self.listen_port = free_port()
            self.relay_server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
            self.discovery_server = await asyncio.start_server(self._discovery, "127.0.0.1", 0)
        relay_port, discovery_port = (
            server.sockets[0].getsockname()[1] for server in (self.relay_server, self.discovery_server)
        )
        path = platform.folder / f"{self.name}.json"
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.listen_port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{platform.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "hub": {"address": f"127.0.0.1:{relay_port}"},
            "known": known,
            "settings": platform.settings(self.number),
        }
        path.write_text(json.dumps(config))
        self._told(known["hosts"], True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")} | {
            "LB_NAME": self.name,
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": config["discovery"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(platform.folder),
        }
        log = open(platform.folder / f"{self.name}-{self.incarnation}.log", "wb")  # noqa: SIM115
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        platform.record(f"{self.name} started, process {self.incarnation}, list known at its start: seq {known['seq']}")
        began = time.monotonic()
        while not await self.ping(0.3):
            if time.monotonic() - began > 30 or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} did not come into use")
            await asyncio.sleep(0.05)
        self.answered_at = time.monotonic()
        platform.record(f"{self.name} answered its first PING after {self.answered_at - began:.2f} s")
        for proxy in platform.proxies:
            platform.later(platform.random.uniform(*platform.redial_s), self._join, proxy, self.incarnation)
        for zone in ZONES:
            self.collectors.append(platform.task(self._collect(zone, self.incarnation)))

    async def ping(self, timeout):
        """Whether the manager answers a PING on a new connection in time."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.listen_port)
                writer.write(frame({"msg": "PING"}))
                size = int.from_bytes(await reader.readexactly(4), "big")
                answer = json.loads(await reader.readexactly(size))
                writer.close()
                return answer.get("msg") == "PONG"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def kill(self, number=signal.SIGKILL):
        """End the process with a signal; its channel is lost, its proxies lose their streams to it."""
        platform = self.platform
        platform.record(f"{self.name} gets {signal.Signals(number).name}")
        self._leave_service()
        self.process.send_signal(number)
        self.process.wait(5)
        for table in [table for table, seat in platform.owners.items() if seat is self]:
            platform.later(platform.random.uniform(*TAKEOVER_S), platform.take_over, table, self)

    def _leave_service(self):
        self.known = self.platform.whole_list(self.told)
        self.answered_at, self.channel_free, self.starved, self.levels = None, 0.0, {}, set()
        for collector in self.collectors:
            collector.cancel()
        self.collectors = []
        for proxy in self.platform.proxies:
            if self in proxy.joined:
                del proxy.joined[self]
        for writer in self.followers:
            writer.close()
        self.followers = []

    # Proxies' streams.

    def _join(self, proxy, incarnation):
        if incarnation != self.incarnation or self.answered_at is None:
            return
        platform, now = self.platform, time.monotonic()
        standing = int(self not in proxy.ordered)
        proxy.joined[self] = now
        platform.later(platform.random.uniform(*STORE_READ_S), self._read_store, proxy, now)
        self.news(f"* SUBSCRIBE {proxy.number} {proxy.zone} {platform.rate / len(platform.proxies):.1f} {standing}")

    def leave(self, proxy):
        """The proxy's stream to this manager breaks; messages on their way are lost."""
        if proxy.joined.pop(self, None):
            self.news(f"* CLOSED {proxy.number}")

    def _read_store(self, proxy, joined_at):
        if proxy.joined.get(self) != joined_at:
            return
        now = time.monotonic()
        for table, seat in self.platform.owners.items():
            if seat is self:
                proxy.tables[table] = dict(self.platform.store[table])
                proxy.read_at[table] = now

    # Custody.

    def grant(self, table):
        """The store gives a slice into this manager's charge."""
        platform, now = self.platform, time.monotonic()
        platform.owners[table].granted_at.pop(table, None)
        platform.owners[table], self.granted_at[table] = self, now
        self.news(f"* GRANT {table} 1", *platform.rows(table))
        for proxy in platform.proxies:
            platform.later(platform.random.uniform(*STORE_READ_S), self._read_table, proxy, table)

    def _read_table(self, proxy, table):
        if self.platform.owners.get(table) is self and self in proxy.joined:
            proxy.tables[table] = dict(self.platform.store[table])
            proxy.read_at[table] = time.monotonic()

    # The relay.

    def news(self, *lines):
        """Send lines of news."""
        data = "".join(line + "\r\n" for line in lines).encode()
        for writer in list(self.followers):
            if not writer.is_closing():
                writer.write(data)

    async def _relay(self, reader, writer):
        try:
            while True:
                async with asyncio.timeout(None if writer in self.followers else 10):
                    line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "follow":
                    writer.write(b"OK\r\n" + "".join(text + "\r\n" for text in self._snapshot()).encode())
                    self.followers.append(writer)
                    self.platform.task(self._keep_alive(writer))
                elif not line.startswith("txn "):
                    writer.write(b"ERR invalid\r\n")
                elif not self.run_begun:
                    writer.write(b"ERR throttled\r\n")
                else:
                    await self._handle_call(line[4:], writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.followers:
                self.followers.remove(writer)
            writer.close()

    def _snapshot(self):
        lines = [
            f"* SUBSCRIBE {proxy.number} {proxy.zone} {self.platform.rate / len(self.platform.proxies):.1f} "
            f"{int(self not in proxy.ordered)}"
            for proxy in self.platform.proxies
            if self in proxy.joined
        ]
        for table, seat in self.platform.owners.items():
            if seat is self:
                lines += [f"* GRANT {table} 1", *self.platform.rows(table)]
        return lines

    async def _keep_alive(self, writer):
        while writer in self.followers and not writer.is_closing():
            await asyncio.sleep(1.0)
            writer.write(b"*\r\n")

    async def _handle_call(self, text, writer):
        """Carry out a call and answer it; a case may override this for one call by `call_fault`."""
        taken, orders = 0, [order.split(",") for order in text.split(";")]
        fault = self.platform.call_fault(self, orders) if self.platform.call_fault else None
        if fault != "not carried out":
            for order in orders:
                if not self._carry_out(order):
                    break
                taken += 1
            self._send(orders[:taken])
        self.platform.record(f"{self.name} call, {taken} of {len(orders)} taken{fault and ', ' + fault or ''}: {text}")
        if fault is None:
            await asyncio.sleep(0.003)
            writer.write(f"OK {taken}\r\n".encode())

    def _carry_out(self, order):
        platform, kind = self.platform, order[0]
        if kind == "share" and platform.owners.get(int(order[1])) is self:
            if order[2] not in platform.workers:
                return False
            rows = platform.store[int(order[1])]
            rows[order[2]] = float(order[3])
            if rows[order[2]] == 0:
                del rows[order[2]]
        elif kind in ("withdraw", "restore"):
            return order[1] in platform.workers
        elif kind == "clear" and platform.owners.get(int(order[1])) is self:
            platform.store[int(order[1])] = {}
        elif kind == "admit" and order[1] == "*":
            self.levels.add(order[2])
        return True

    def _send(self, orders):
        """Put a message for each proxy concerned into the channel."""
        platform, now = self.platform, time.monotonic()
        family = platform.settings(self.number)["FamilyInfo"]
        owned = [order for order in orders if order[0] != "share" or platform.owners.get(int(order[1])) in (self, None)]
        mark = next((order for order in orders if order[0] == "mark"), None)
        for proxy in platform.proxies:
            if self not in proxy.joined:
                continue
            named = set().union(*proxy.tables.values())
            lines = sum(order[0] not in ("withdraw", "restore", "admit") or order[1] in named for order in owned)
            if not lines and not (mark and mark[2] == "1"):
                continue
            cost = family["Overhead"] + lines + len(self.levels)
            self.channel_free = max(self.channel_free, now) + cost / (family["EgressPerS"] * platform.pace)
            transit = min(family["TransitMaxS"], platform.random.uniform(0.5, 1.5) * family["PushDelayS"])
            arrives = max(self.channel_free + transit, proxy.last_arrival[self] + 1e-6)  # in order
            proxy.last_arrival[self] = arrives
            loop = asyncio.get_running_loop()  # its clock is time.monotonic()
            loop.call_at(arrives, self._deliver, proxy, proxy.joined[self], owned, mark, now)
        self.peak_lines = max(self.peak_lines, max(0.0, self.channel_free - now) * family["EgressPerS"] * platform.pace)

    def _deliver(self, proxy, joined_at, orders, mark, sent_at):
        if proxy.joined.get(self) != joined_at:
            return
        proxy.ordered.add(self)
        for order in orders:
            if order[0] == "withdraw":
                proxy.withdrawn[self].add(order[1])
            elif order[0] == "restore":
                proxy.withdrawn[self].discard(order[1])
            elif order[0] == "share" and self.platform.owners.get(int(order[1])) is self:
                table = int(order[1])
                if proxy.read_at.get(table, 0) <= sent_at:  # a later reading of the store holds it already
                    rows = proxy.tables.setdefault(table, {})
                    rows[order[2]] = float(order[3])
                    if rows[order[2]] == 0:
                        del rows[order[2]]
        if mark is not None:
            self.news(f"* ACK {proxy.number} {mark[1]} {(time.monotonic() - sent_at) * 1000:.1f}")

    # Discovery.

    def _told(self, rows, whole):
        """Discovery has written these rows to the manager."""
        now = time.monotonic()
        if whole:
            for name in self.told.keys() - {row["host"] for row in rows}:
                self.told[name] = self.told[name] | {"health": "left"}
                self.told_since[name] = now
        for row in rows:
            before = self.told.get(row["host"])
            if before is None or (before["health"], before["born_ms"]) != (row["health"], row["born_ms"]):
                self.told_since[row["host"]] = now
            self.told[row["host"]] = row

    async def _discovery(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            since = int(head.split(" ")[1].rpartition("since=")[2])
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            while self.process.poll() is None:
                rows = [worker.row() for worker in self.platform.workers.values() if worker.changed_seq > since]
                line = b"\n"
                if rows:
                    since = self.platform.seq
                    line = json.dumps({"seq": since, "whole": False, "hosts": rows}).encode() + b"\n"
                    self._told(rows, False)
                    self.platform.record(
                        f"{self.name} is told: " + " ".join(f"{row['host']}={row['health']}" for row in rows)
                    )
                writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
                await writer.drain()
                changed = self.platform.list_changed
                try:
                    async with asyncio.timeout(2.0):
                        await changed.wait()
                except TimeoutError:
                    pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    # Reports.

    async def _collect(self, zone, incarnation):
        """The collector of a zone: passes on what the proxies of the zone met, late and limited in lines."""
        platform = self.platform
        per_period = int(150 * 0.5 / len(ZONES))
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.listen_port)
            writer.write(frame({"msg": "SOURCE", "az": zone}))
            self.collector_writers[zone] = writer
            while incarnation == self.incarnation:
                await asyncio.sleep(0.5)
                delay = platform.random.uniform(*REPORT_DELAY_S)
                messages = platform.take_reports(self, zone, per_period)
                platform.later(delay, lambda messages=messages: writer.write(b"".join(map(frame, messages))))
        except (OSError, asyncio.CancelledError):
            pass


class Platform:
    """See the top of this module. `rate` is in transactions a second."""

    def __init__(self, record, managers=2, workers=15, slices=71, proxies=9, rate=90.0, seed=1, family=None):
        self.began, self.random, self.rate = time.monotonic(), random.Random(seed), rate
        self.record_line, self.family, self.slices = record, family or {}, slices
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.workers = {
            f"s-{number:02}": Worker(f"s-{number:02}", ZONES[number % len(ZONES)], number % len(ZONES))
            for number in range(workers)
        }
        self.seq, self.list_changed, self.tasks, self.pace, self.redial_s = 1, asyncio.Event(), set(), 1.0, REDIAL_S
        names = list(self.workers)
        self.store = {table: {names[table % workers]: 1.0} for table in range(slices)}
        self.popularity = [self.random.lognormvariate(0.0, 0.6) for _ in range(slices)]
        self.proxies = [Proxy(number, ZONES[number % len(ZONES)]) for number in range(proxies)]
        self.seats = [Seat(self, number) for number in range(managers)]
        self.owners, self.homes = {}, {table: self.seats[table % managers] for table in range(slices)}
        self.call_fault, self.broken, self.playing = None, {}, True  # `broken`: what broke a rule: when
        self.latest, self.late_ticks = 0.0, 0  # how late this process has been at most; how often too late
        # Per (seat, zone): {key: values} of sums that were not passed on yet, the oldest first.
        self.sums = defaultdict(dict)
        self.sent = self.unserved = self.unpicked = 0

    def record(self, text):
        """Write a line of the record, with the seconds since the begin."""
        self.record_line(f"{time.monotonic() - self.began:8.3f} {text}")

    def settings(self, number):
        """The settings of manager `number`."""
        return make_settings(len(self.seats), number, self.slices, len(self.proxies), **self.family)

    def later(self, after_s, callback, *values):
        """Call `callback(*values)` after that time."""
        asyncio.get_running_loop().call_later(max(0.0, after_s), callback, *values)

    def task(self, coroutine):
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def begin(self):
        """Start everything; returns when the proxies have joined and the run has begun."""
        for worker in self.workers.values():
            await self.start_worker(worker)
        for table, seat in self.homes.items():
            self.owners[table] = seat
            seat.granted_at[table] = time.monotonic()
        await asyncio.gather(*(seat.start() for seat in self.seats))
        for seat in self.seats:
            seat.run_begun = True
        self.task(self._traffic())
        await asyncio.sleep(self.redial_s[1] + 0.5)
        self.record(f"the run has begun: {len(self.proxies)} proxies joined, {len(self.workers)} workers listed")

    async def add_worker(self, name, zone):
        """A new worker starts, cold, and is listed."""
        worker = self.workers[name] = Worker(name, zone, ZONES.index(zone))
        worker.restart()
        await self.start_worker(worker)
        self.change_workers([name], state="active")
        return worker

    async def start_worker(self, worker):
        """Let a worker listen for probes."""
        server = await asyncio.start_server(worker.answer, "127.0.0.1", 0)
        worker.port = server.sockets[0].getsockname()[1]

    def check_lateness(self):
        """Raises an exception if this process was too late for a sound platform, because the machine is busy."""
        self.record(f"the stand-ins were late by {1000 * self.latest:.0f} ms at most, {self.late_ticks} times too late")
        if self.latest > MOST_LATE_S:
            raise RuntimeError("the machine is too busy for the stand-ins")

    async def end(self):
        """End all processes."""
        self.playing = False
        for seat in self.seats:
            if seat.process is not None and seat.process.poll() is None:
                seat.process.terminate()
                try:
                    seat.process.wait(2)
                except subprocess.TimeoutExpired:
                    seat.process.kill()
                    seat.process.wait()
        for task in list(self.tasks):
            task.cancel()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # The list and the store.

    def whole_list(self, told=None):
        """The whole list in discovery's form, as it is or as a manager was told it."""
        rows = [worker.row() for worker in self.workers.values()] if told is None else list(told.values())
        return {"seq": self.seq, "whole": True, "hosts": [row for row in rows if row["health"] != "left"]}

    def change_workers(self, names, **fields):
        """Change workers in the list, which tells all managers."""
        self.seq += 1
        for name in names:
            worker = self.workers[name]
            worker.changed_seq = self.seq
            for key, value in fields.items():
                setattr(worker, key, value)
        changed, self.list_changed = self.list_changed, asyncio.Event()
        changed.set()

    def rows(self, table):
        """The lines of news for a slice's table."""
        return [f"* ROW {table} {name} {weight}" for name, weight in self.store[table].items()]

    def restart_proxies(self, proxies, down_s):
        """These proxies end and start again after `down_s`: they know nothing then, and join every manager in use."""
        for proxy in proxies:
            for seat in self.seats:
                seat.leave(proxy)
            for known in (proxy.withdrawn, proxy.ordered, proxy.tables, proxy.read_at):
                known.clear()
            for seat in self.seats:
                after_s = down_s + self.random.uniform(*self.redial_s)
                self.later(
                    after_s, lambda seat=seat, proxy=proxy: seat in proxy.joined or seat._join(proxy, seat.incarnation)
                )

    def take_over(self, table, former):
        """Another manager gets a slice whose manager has died; its home manager gets it back when it is in use."""
        if self.owners.get(table) is not former or former.answered_at is not None:
            return
        others = [seat for seat in self.seats if seat is not former and seat.answered_at is not None]
        if others:
            others[table % len(others)].grant(table)

    def give_back(self, seat):
        """A manager that is back gets its own slices again."""
        for table, home in self.homes.items():
            if home is seat and self.owners.get(table) is not seat:
                former = self.owners[table]
                former.news(f"* GRANT {table} 0")
                seat.grant(table)

    # Traffic.

    async def _traffic(self):
        last = noted = checked = time.monotonic()
        tables, before = list(range(self.slices)), (0, 0, 0)
        while self.playing:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            count = self._poisson(self.rate * (now - last))
            for table in self.random.choices(tables, self.popularity, k=count):
                self._transact(table, now)
            late = now - last - TICK_S
            self.latest = max(self.latest, late)
            if late > LATE_S:
                self.late_ticks += 1
                for seat in self.seats:
                    seat.limits_from = now + SILENT_S
            if now - checked >= CHECK_S:
                checked = now
                self._check_blackholes(now)
                self._check_drains(now)
            if now - noted >= 1.0:
                counts = (self.sent, self.unserved, self.unpicked)
                new = [count - earlier for count, earlier in zip(counts, before)]
                noted, before = now, counts
                self.record(f"transactions {new[0]}, not answered {new[1]}, of these without a line to pick {new[2]}")
            last = now
            for worker in self.workers.values():
                worker.recent = [entry for entry in worker.recent if entry[0] > now - 2.0]

    def _poisson(self, mean):
        count, left = 0, self.random.expovariate(1.0)
        while left < mean:
            count, left = count + 1, left + self.random.expovariate(1.0)
        return count

    def _transact(self, table, now):
        """A transaction arrives at a proxy, which sends it to a worker of the slice's table."""
        seat, proxy = self.owners.get(table), self.random.choice(self.proxies)
        kind = self.random.choices(CLASSES, CLASS_SHARES)[0]
        self.sent += 1
        usable = proxy.usable(table, seat)
        answered = False
        if usable:
            name = self.random.choices(list(usable), list(usable.values()))[0]
            worker = self.workers[name]
            answered = self._serve(worker, now, seat)
            sums = self.sums[seat, proxy.zone].setdefault(("LOAD", name), [0, 0])
            sums[0] += 1
            sums[1] += not answered
        self.unserved += not answered
        self.unpicked += not usable
        sums = self.sums[seat, proxy.zone].setdefault(("SHARD", table, kind), [0, 0])
        sums[0] += 1
        sums[1] += not answered

    def _serve(self, worker, now, seat):
        """Whether the worker answers a transaction of a slice in the charge of `seat`."""
        worker.received += 1
        if worker.silent or worker.state == "left" and not worker.wrongly_listed:
            return False
        worker.recent.append((now, WORK_S))
        if worker.born is not None and now - worker.born < COLD_S:
            row = seat.told.get(worker.name, {})
            knows = row.get("born_ms") == worker.born_ms and now - seat.told_since[worker.name] > self.grace
            worker.arrivals.append((now, knows and seat.answered_at is not None))
        return True

    @property
    def grace(self):
        """The drain grace in seconds."""
        return self.settings(0)["Rules"]["DrainGraceS"]

    def overload(self, worker):
        """The largest work sent to a cold worker within `FallS`, as a part of what it can take (rule 4).

        Returns that part, and when the span began. What it can take: multiple x present capacity x span. Only spans
        count in which two thirds of the work come for slices of managers that have known of the start for the grace.
        """
        rules = self.settings(0)["Rules"]
        span, most = rules["FallS"], (0.0, 0.0)
        for first, (begin, _) in enumerate(worker.arrivals):
            known = [knows for at, knows in worker.arrivals[first:] if at < begin + span]
            capacity = worker.capacity(begin + span, COLD_FROM, COLD_S)
            part = len(known) * WORK_S / (rules["FallMultiple"] * capacity * span)
            if sum(known) * 3 >= len(known) * 2 and part > most[0]:
                most = (part, begin - self.began)
        return most

    def take_reports(self, seat, zone, most):
        """The reports of a zone for a manager: the oldest sums first."""
        sums, messages = self.sums[seat, zone], []
        for key in list(sums)[:most]:
            count, bad = sums.pop(key)
            base = {"n": count, "bad": bad, "window": 500.0}
            if key[0] == "SHARD":
                messages.append({"msg": "SHARD", "partition": key[1], "kind": key[2], **base})
            else:
                worker = self.workers[key[1]]
                now = time.monotonic()
                work = sum(work for at, work in worker.recent if at > now - 1.0)
                report = {"util": round(min(1.0, work / CORES), 3), "qps": round(work / WORK_S, 1)}
                load = {"msg": "LOAD", "az": zone, "host": key[1], "avg": 300.0 if count > bad else 0.0, **base}
                messages.append(load | ({"report": report} if count > bad else {}))
        return messages

    # Rule 1.

    def _check_blackholes(self, now):
        family = self.settings(0)["FamilyInfo"]
        limit = family["BlackholeS"] + SLACK_S
        for seat in self.seats:
            if seat.answered_at is None or not any(
                row["health"] == "active" and row["born_ms"] == 0 for row in seat.told.values()
            ):
                seat.starved = {}
                continue
            starved = {}
            for proxy in self.proxies:
                withdrawn = proxy.withdrawn[seat]
                if seat not in proxy.joined:
                    continue
                for table in seat.granted_at:
                    if proxy.tables.get(table, NO_LINES).keys() <= withdrawn:
                        begin = max(proxy.joined[seat], seat.granted_at[table], seat.answered_at + START_GRACE_S, now)
                        since = seat.starved.get((proxy.number, table), begin)
                        starved[proxy.number, table] = max(since, seat.limits_from)
            seat.starved = starved
            for (number, table), since in starved.items():
                key = ("no line", seat.name, number, table)
                if now - since > limit and key not in self.broken:
                    proxy = self.proxies[number]
                    self._broken(
                        key,
                        f"proxy {number} has had no line to pick for slice {table} of {seat.name} for "
                        f"{now - since:.2f} s; its table: {proxy.tables.get(table)}; withdrawn there: "
                        f"{sorted(proxy.withdrawn[seat])}; the list as told to {seat.name}: "
                        f"{sum(row['health'] == 'active' for row in seat.told.values())} workers active",
                    )

    def _broken(self, key, text):
        """A rule is broken; the first cases are recorded in full."""
        self.broken[key] = time.monotonic()
        if len(self.broken) <= 40:
            self.record(f"BROKEN: {text}")

    # Rule 3.

    def _check_drains(self, now):
        rules = self.settings(0)["Rules"]
        limit = rules["DrainGraceS"] + SLACK_S
        soft = rules.get("SoftRemoval", False)
        for seat in self.seats:
            if seat.answered_at is None:
                continue
            gone = {
                name: seat.told_since[name]
                for name, row in seat.told.items()
                if row["health"] == "leaving" or row["health"] == "left" and not soft
            }
            due = {name for name, since in gone.items() if now - since > limit}
            if not due:
                continue
            for proxy in self.proxies:
                late = due - proxy.withdrawn[seat]
                if seat not in proxy.joined or not late:
                    continue
                for table in seat.granted_at:
                    for name in late & proxy.tables.get(table, {}).keys():
                        begin = max(
                            gone[name],
                            proxy.joined[seat],
                            seat.granted_at[table],
                            seat.answered_at + START_GRACE_S,
                            seat.limits_from,
                        )
                        key = ("drain", seat.name, proxy.number, name)
                        if now - begin > limit and key not in self.broken:
                            self._broken(
                                key,
                                f"proxy {proxy.number} may still pick {name} for slice {table} of {seat.name} "
                                f"{now - begin:.2f} s after the grace began; the list has it as "
                                f"{seat.told[name]['health']} for {now - gone[name]:.2f} s; its table: "
                                f"{proxy.tables.get(table)}; withdrawn there: {sorted(proxy.withdrawn[seat])}",
                            )
