"""One day of a small deployment: a manager as a process, and the stand-ins round it in this process.

    day = Day(folder, settings, worker_count)
    await day.start()          # raises RuntimeError if the manager does not start
    ...                        # the case
    day.close()

`main(folder, play)` runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
import traceback
from collections import Counter

from .discovery import Discovery, entry
from .manager import Manager, frame
from .record import Record
from .relay import Proxy, Relay
from .settings import ZONES
from .workers import ColdCheck, SoleOwnerCheck, Worker

REPORT_PERIOD_S, REPORT_DELAY_S = 0.5, 0.3
MAX_CASE_S = 110.0
REDIAL_S = (0.2, 0.5)  # from the manager's return until a proxy has joined it again
LIMITS_BEGIN_S = 1.0  # from the manager's first answer until the rules' limits begin


class Day:
    """The manager, the relay with its proxies, the workers, discovery, collectors and the traffic."""

    def __init__(self, record, settings, worker_count, sockets=1024, store=None):
        family = settings["FamilyInfo"]
        self.record, self.settings, self.sockets = record, settings, sockets
        self.workers = {f"s-{number:04x}": Worker(f"s-{number:04x}", record) for number in range(worker_count)}
        self.sites = {name: ZONES[number % len(ZONES)] for number, name in enumerate(self.workers)}
        names = list(self.workers)
        store = store or {index: {names[index % worker_count]: 1.0} for index in range(family["PartitionsN"])}
        proxies = [Proxy(number, ZONES[number % len(ZONES)]) for number in range(family["ProxyCount"])]
        self.discovery, self.relay = Discovery(record), Relay(record, settings, store, proxies)
        self.sole_owner, self.manager, self.tasks = SoleOwnerCheck(record) if family["SoleOwner"] else None, None, []
        self.met, self.demand, self.answered, self.refused = Counter(), Counter(), 0, 0
        self.cold, self.cold_breaks = {}, []  # by worker: the ColdCheck of those started within the day
        self.report_delay_s = REPORT_DELAY_S
        self.slice_weights = [1.0] * family["PartitionsN"]
        self.hot_slices, self.hot_share = [], 0.0  # slices in demand, and their share of the traffic

    async def start(self):
        """Start everything; traffic begins once the manager has answered."""
        for name, worker in self.workers.items():
            await worker.start()
            self.discovery.rows[name] = entry(worker, self.sites[name])
        await self.discovery.start()
        await self.relay.start()
        self.manager = Manager(
            self.record, self.settings, self.discovery.port, self.relay.port, self.discovery.whole(), self.sockets
        )
        await self.manager.start()
        self.relay.open = True
        self.tasks += [asyncio.create_task(self._collect(zone)) for zone in ZONES]

    def stop_manager(self):
        """A planned end of the manager; all streams of proxies break."""
        self.manager.config["known"] = self.discovery.whole()
        self.manager.stop()
        self.relay.manager_ended()

    async def start_manager_again(self):
        """Start the manager under its name and address; the proxies join once it has answered."""
        await self.manager.start()
        for check in self.cold.values():
            check.limits_begin_s = asyncio.get_running_loop().time() + LIMITS_BEGIN_S
        for proxy in self.relay.proxies:
            asyncio.get_running_loop().call_later(random.uniform(*REDIAL_S), self.relay.join, proxy)

    async def add_worker(self, name, site, listed_after_s=0.0, capacity=None):
        """A new machine; discovery lists it as just started that long after its start.

        With a `capacity`, the rule on cold workers is checked for it.
        """
        worker = self.workers[name] = Worker(name, self.record)
        await worker.start()
        self.sites[name], born_ms = site, time.time_ns() // 1_000_000
        if capacity is not None:
            self.cold[name] = ColdCheck(self.settings["Rules"], capacity, asyncio.get_running_loop().time())
        await asyncio.sleep(listed_after_s)
        self.discovery.change(entry(worker, site, born_ms=born_ms))

    def drain_worker(self, name):
        """Discovery lists a worker as leaving."""
        self.discovery.change(entry(self.workers[name], self.sites[name], "leaving"))

    def remove_worker(self, name):
        """A worker ends, and discovery lists it as gone."""
        self.workers[name].stop()
        self.discovery.change(entry(self.workers[name], self.sites[name], "left"))

    # Traffic.

    def begin_traffic(self, per_s, write_share, work_s):
        """Let clients send so many transactions per second, evenly over slices and proxies."""
        self.tasks.append(asyncio.create_task(self._send_traffic(per_s, write_share, work_s)))

    async def _send_traffic(self, per_s, write_share, work_s):
        lanes, pending = [lane["Name"] for lane in self.settings["Lanes"]], set()
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            next_s += random.expovariate(per_s)
            if next_s > loop.time():
                await asyncio.sleep(next_s - loop.time())
            class_index = int(random.random() < write_share)
            task = asyncio.create_task(
                self._transact(
                    random.choice(self.relay.proxies),
                    self._draw_slice(),
                    lanes[class_index],
                    self.settings["FamilyInfo"]["Writers"][class_index],
                    work_s,
                )
            )
            pending.add(task)
            task.add_done_callback(pending.discard)

    def _draw_slice(self):
        if self.hot_slices and random.random() < self.hot_share:
            return random.choice(self.hot_slices)
        return random.choices(range(self.relay.slices), self.slice_weights)[0]

    async def _transact(self, proxy, slice_index, class_name, writes, work_s):
        loop = asyncio.get_running_loop()
        self.demand[slice_index, class_name, proxy.zone] += 1
        give_up_s, name = loop.time() + self.settings["FamilyInfo"]["HoldS"], None
        while proxy.admits(slice_index, class_name):
            name = proxy.pick(slice_index)
            if name is not None or loop.time() > give_up_s:
                break
            await asyncio.sleep(0.02)
        text = f"proxy {proxy.number}, slice {slice_index}, {class_name}"
        if name is None:
            self.refused += 1
            self.record.write(f"{text}: refused")
            return
        await asyncio.sleep(0.001)  # on the network
        worker, sent_s = self.workers[name], loop.time()
        work_s *= random.uniform(0.7, 1.3)
        if name in self.cold and worker.running and (why := self.cold[name].work_sent(loop.time(), work_s)):
            self.cold_breaks.append(f"{name} falls over: {why}; {worker.in_hand} transactions in hand are lost")
            self.record.write(f"RULE BROKEN {self.cold_breaks[-1]}")
            worker.running = False
        if not worker.running:
            self.met[proxy.zone, name, "bad"] += 1
            self.record.write(f"{text}: no answer of {name}")
            return
        self.record.write(f"{text}: sent to {name}")
        writes = writes and self.sole_owner is not None
        if writes:
            self.sole_owner.write_taken(slice_index, name, proxy.number)
        await worker.take(work_s)
        if writes:
            self.sole_owner.write_done(slice_index, name)
        if name in self.cold and self.cold[name].fallen:
            self.met[proxy.zone, name, "bad"] += 1
            self.record.write(f"{text}: lost at {name}")
            return
        self.answered += 1
        self.record.write(f"{text}: answered by {name}")
        self.met[proxy.zone, name, "good"] += 1
        self.met[proxy.zone, name, "time"] += loop.time() - sent_s

    async def _collect(self, zone):
        """The collector of a zone: connect, name the zone, pass on reports; connect again if that breaks."""
        while True:
            writer = None
            try:
                _, writer = await asyncio.open_connection(*self.manager.address)
                self._write(writer, {"msg": "SOURCE", "az": zone})
                while True:
                    await asyncio.sleep(REPORT_PERIOD_S)
                    messages = self._take_reports(zone)
                    await asyncio.sleep(self.report_delay_s)
                    if writer.is_closing():
                        raise ConnectionResetError
                    for message in messages:
                        self._write(writer, message)
                    async with asyncio.timeout(1.0):
                        await writer.drain()
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
            finally:
                if writer is not None:
                    writer.transport.abort()

    @staticmethod
    def _write(writer, message):
        if not writer.is_closing():
            writer.write(frame(json.dumps(message).encode()))

    def _take_reports(self, zone):
        window_ms, messages = REPORT_PERIOD_S * 1000, []
        for name in {name for site, name, _ in self.met if site == zone}:
            good, bad, total_s = (self.met.pop((zone, name, what), 0) for what in ("good", "bad", "time"))
            messages.append(
                {
                    "msg": "LOAD",
                    "az": zone,
                    "host": name,
                    "n": good + bad,
                    "bad": bad,
                    "avg": total_s / good * 1000 if good else 0.0,
                    "window": window_ms,
                    "report": {"util": 0.4, "qps": 20.0},
                }
            )
        for key in [key for key in self.demand if key[2] == zone]:
            messages.append(
                {
                    "msg": "SHARD",
                    "partition": key[0],
                    "kind": key[1],
                    "n": self.demand.pop(key),
                    "bad": 0,
                    "window": window_ms,
                }
            )
        return messages

    def close(self):
        """End the process and all tasks."""
        for task in self.tasks:
            task.cancel()
        if self.manager is not None:
            self.manager.close()


def main(folder, play):
    """Run `play(record, with_trouble)`, which returns a text for each break of the rule; exits with the status."""
    record, status = Record(os.path.join(folder, "record.txt")), 2
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case begins, {'with' if with_trouble else 'without'} the disruption")

    async def limited():
        # A test that is ended from outside still ends the processes that it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(MAX_CASE_S):
            return await play(record, with_trouble)

    try:
        broken = asyncio.run(limited())
        status = 1 if broken else 0
        for text in broken[:20]:
            record.write(f"broken: {text}")
        print(f"{len(broken)} breaks of the rule" + (f", the first: {broken[0]}" if broken else ""))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        traceback.print_exc()
    record.write(f"exit status {status}")
    record.close()
    sys.exit(status)
