"""Stand-in relay with the store, the manager's channel and the proxies.

A call of the manager changes the store at once and becomes one message for each joined proxy. Messages leave the
channel one after the other, are under way for a while and reach each proxy in order. With `fail_calls`, calls are
carried out or not and answered in the ways that the protocol page allows.
"""

import asyncio
import random

SYNC_S = (0.1, 0.5)  # from joining until a proxy has read the store


class Proxy:
    """A plain proxy: what it holds, and which worker it picks."""

    def __init__(self, number, zone):
        self.number, self.zone, self.tables, self.withdrawn, self.levels = number, zone, {}, set(), {}
        self.arrival_s, self.applied = 0.0, 0  # when its last message arrives; messages applied

    def lines(self, slice_index):
        """The lines that it may pick, {worker: weight}."""
        table = self.tables.get(slice_index, {})
        return {name: weight for name, weight in table.items() if name not in self.withdrawn and weight > 0}

    def pick(self, slice_index):
        """A worker by weight, or None."""
        lines = self.lines(slice_index)
        return random.choices(list(lines), list(lines.values()))[0] if lines else None

    def admits(self, slice_index, class_name):
        """Whether the levels let in a transaction of a class."""
        level = min(self.levels.get(("*", class_name), 1.0), self.levels.get((str(slice_index), class_name), 1.0))
        return random.random() < level


class Relay:
    """One manager's relay. `store` is {slice: {worker: weight}}, `proxies` a list of Proxy, which are joined at first.

    `manager_ended` is to be called when the manager's process has ended, and `join` when a proxy has its stream again.
    """

    def __init__(self, record, settings, store, proxies):
        family = settings["FamilyInfo"]
        self.record, self.store, self.proxies, self.port = record, store, proxies, 0
        self.pace, self.head = family["EgressPerS"], family["Overhead"]
        self.mean_s, self.longest_s = family["PushDelayS"], family["TransitMaxS"]
        self.sole_owner, self.classes = family["SoleOwner"], [lane["Name"] for lane in settings["Lanes"]]
        self.slices, self.free_s, self.followers, self.server, self.open = (
            family["PartitionsN"],
            0.0,
            set(),
            None,
            False,
        )
        self.granted, self.joined, self.processes = set(store), set(proxies), 0
        self.proxy_rate = 20.0  # requests a second that a proxy usually gets
        self.fail_calls = lambda: "answer"  # or "break", "break after", "silent", "silent after", "unreadable"

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        for proxy in self.proxies:
            proxy.tables = {slice_index: dict(lines) for slice_index, lines in self.store.items()}

    def manager_ended(self):
        """What waits in the channel or is under way is lost, and all streams are broken."""
        self.joined, self.free_s = set(), 0.0
        self.processes += 1

    def join(self, proxy):
        """A proxy has a stream to the manager; it reads the store a little later."""
        self.joined.add(proxy)
        self.record.write(f"proxy {proxy.number} joins")
        self.send_news(self._subscription(proxy))
        asyncio.get_running_loop().call_later(random.uniform(*SYNC_S), self._read_store, proxy)

    def _read_store(self, proxy):
        proxy.tables = {slice_index: dict(lines) for slice_index, lines in self.store.items()}

    def _subscription(self, proxy):
        return f"SUBSCRIBE {proxy.number} {proxy.zone} {self.proxy_rate} {int(not proxy.applied)}"

    def send_news(self, text):
        """Write one line of news to all that follow."""
        for writer in [writer for writer in self.followers if not writer.is_closing()]:
            writer.write(f"* {text}\r\n".encode())

    async def _serve(self, reader, writer):
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "follow":
                    await self._follow(writer)
                    return
                if not await self._call(line, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.followers.discard(writer)
            writer.close()

    async def _follow(self, writer):
        lines = ["OK"]
        lines += [f"* {self._subscription(proxy)}" for proxy in self.proxies if proxy in self.joined]
        for slice_index in sorted(self.granted):
            lines.append(f"* GRANT {slice_index} 1")
            lines += [f"* ROW {slice_index} {name} {weight}" for name, weight in self.store[slice_index].items()]
        writer.write("".join(line + "\r\n" for line in lines).encode())
        self.followers.add(writer)
        while True:
            await asyncio.sleep(1.0)
            writer.write(b"*\r\n")
            await writer.drain()

    async def _call(self, line, writer):
        """Handle a call; returns whether the connection stays open."""
        if not line.startswith("txn "):
            writer.write(b"ERR invalid\r\n")
            return True
        if not self.open:
            writer.write(b"ERR throttled\r\n")
            return True
        outcome, orders = self.fail_calls(), [order.split(",") for order in line[4:].split(";")]
        self.record.write(f"call ({outcome}): {line[4:400]}")
        if outcome in ("answer", "break after", "silent after", "unreadable"):
            self._carry_out(orders)
        if outcome.startswith("break"):
            writer.transport.abort()
            return False
        if outcome.startswith("silent"):
            await asyncio.sleep(10.0)
            return False
        writer.write(b"O\xff9?\r\n" if outcome == "unreadable" else f"OK {len(orders)}\r\n".encode())
        return True

    def _carry_out(self, orders):
        for kind, *values in orders:
            if kind == "share" and int(values[0]) in self.granted:
                table, name, weight = self.store[int(values[0])], values[1], float(values[2])
                if self.sole_owner and weight > 0:
                    table.clear()
                table.pop(name, None)
                if weight > 0:
                    table[name] = weight
            elif kind == "clear" and int(values[0]) in self.granted:
                self.store[int(values[0])].clear()
        now, lines = asyncio.get_running_loop().time(), self.head + len(orders) + len(self.classes)
        self.free_s = max(self.free_s, now)
        for proxy in [proxy for proxy in self.proxies if proxy in self.joined]:
            self.free_s += lines / self.pace
            way_s = min(self.longest_s, random.uniform(0.3, 1.7) * self.mean_s)
            # Timers of the same time may run in any order, so each message arrives a little after the one before.
            proxy.arrival_s = max(proxy.arrival_s + 1e-4, self.free_s + way_s)
            asyncio.get_running_loop().call_at(proxy.arrival_s, self._apply, proxy, orders, now, self.processes)

    def _apply(self, proxy, orders, sent_s, processes):
        """A message takes effect at a proxy, unless the manager's process that sent it has ended since."""
        if processes != self.processes:
            return
        proxy.applied += 1
        for kind, *values in orders:
            if kind == "share" and int(values[0]) in self.granted:
                table, name, weight = proxy.tables.setdefault(int(values[0]), {}), values[1], float(values[2])
                if self.sole_owner and weight > 0:
                    table.clear()
                table.pop(name, None)
                if weight > 0:
                    table[name] = weight
            elif kind == "clear" and int(values[0]) in self.granted:
                proxy.tables[int(values[0])] = {}
            elif kind == "withdraw":
                proxy.withdrawn.add(values[0])
            elif kind == "restore":
                proxy.withdrawn.discard(values[0])
            elif kind == "admit":
                for class_name in self.classes if values[1] == "*" else values[1].split("+"):
                    proxy.levels[values[0], class_name] = float(values[2])
            elif kind == "mark":
                lag_ms = (asyncio.get_running_loop().time() - sent_s) * 1000
                self.send_news(f"ACK {proxy.number} {values[0]} {lag_ms:.1f}")
