"""Runs a day in virtual time with all services in one process; `TroubleInjector` also serves days on sockets.

`play_virtually(day, folder)` returns the account of the audit and the environment. Times are microseconds of the loop
of the environment.
"""

import os
import shutil
from collections import Counter

from ..files import Disk
from ..helper import InlineCalls
from ..loop import VirtualNetwork
from ..manager import ManagerService
from ..policy import Manager
from ..standins import Balancers, Clients, Journal, Proxy, WorkerListService, Workers
from ..standins.tamper import TamperingRelay
from ..web import Client
from ..xds.documents import to_json
from .audit import audit
from .day import deployment, worker_specs
from .watch import FileMonitor

SETTLE_US = 2_500_000  # before the traffic begins: managers agree on custody, proxies join
TAIL_S = 1.0  # after the longest client timeout, so that the last transactions are recorded


class TeeLog:
    """A log that also writes the events needed by the audit into a journal; `log` may be None.

    Events of level debug go to the journal only.
    """

    RECORDED = {"joined_manager", "left_manager", "pushed"}

    def __init__(self, journal, log):
        self.journal, self.log = journal, log

    def _event(self, level, event, fields):
        if event in self.RECORDED:
            self.journal.write(event, **fields)
        if self.log is not None:
            getattr(self.log, level)(event, **fields)

    def debug(self, event, **fields):
        """Write an event of level debug, to the journal only."""
        if event in self.RECORDED:
            self.journal.write(event, **fields)

    def info(self, event, **fields):
        """Write an event of level info."""
        self._event("info", event, fields)

    def warning(self, event, **fields):
        """Write an event of level warning."""
        self._event("warning", event, fields)

    def error(self, event, **fields):
        """Write an event of level error."""
        self._event("error", event, fields)


class TroubleInjector:
    """Begins and ends the troubles of a day at their times, by calls on the environment.

    Each kind of trouble has a method `_KIND(trouble, active)`, found by its name in the day file and called with
    `active` true at the beginning and false at the end. `start_us` is when the traffic begins.
    """

    def __init__(self, day, loop, environment, journal, start_us):
        self.day, self.loop, self.environment, self.journal = day, loop, environment, journal
        for trouble in day.troubles:
            begin_us, end_us = (
                start_us + round(trouble.at_s * 1e6),
                start_us + round((trouble.at_s + trouble.for_s) * 1e6),
            )
            loop.at(begin_us, lambda trouble=trouble: self._apply(trouble, True))
            loop.at(end_us, lambda trouble=trouble: self._apply(trouble, False))

    def _apply(self, planned, active):
        self.journal.write("trouble", trouble=planned.what, on=active)
        getattr(self, "_" + planned.what)(planned, active)

    def _worker_names(self, trouble):
        return [f"worker-{k}" for k in trouble.workers]

    def _worker_crash(self, trouble, active):
        self._crash(self._worker_names(trouble), active)

    def _crash(self, names, active):
        self.environment.control("workers", "stop" if active else "start", workers=names)
        self.environment.control("list", "state", workers=names, state="gone" if active else "ready", fresh=not active)

    def _worker_hang(self, trouble, active):
        self.environment.control("workers", "hang", workers=self._worker_names(trouble), on=active)

    def _worker_vanish(self, trouble, active):
        self.environment.control("workers", "vanish", workers=self._worker_names(trouble), on=active)

    def _worker_errors(self, trouble, active):
        self.environment.control(
            "workers", "errors", workers=self._worker_names(trouble), share=trouble.share if active else 0.0
        )

    def _answer_lost(self, trouble, active):
        self.environment.control(
            "workers", "answer_lost", workers=self._worker_names(trouble), share=trouble.share if active else 0.0
        )

    def _drain(self, trouble, active):
        """Workers drain, stop after half of the time, and start again, cold, at the end."""
        names = self._worker_names(trouble)
        if active:
            self.environment.control("list", "state", workers=names, state="draining", now=True)
            self.loop.after(
                round(trouble.for_s * 5e5),
                lambda: (
                    self.environment.control("workers", "stop", workers=names),
                    self.environment.control("list", "state", workers=names, state="gone"),
                ),
            )
        else:
            self.environment.control("workers", "start", workers=names)
            self.environment.control("list", "state", workers=names, state="ready", fresh=True)

    def _retire(self, trouble, active):
        """Workers drain for the time of the trouble, then stop for good."""
        names = self._worker_names(trouble)
        if active:
            self.environment.control("list", "state", workers=names, state="draining", now=True)
        else:
            self.environment.control("workers", "stop", workers=names)
            self.environment.control("list", "state", workers=names, state="gone")

    def _add(self, trouble, active):
        if active:
            self.environment.control("workers", "start", workers=self._worker_names(trouble))
            self.environment.control("list", "state", workers=self._worker_names(trouble), state="ready", fresh=True)

    def _hidden(self, trouble, active):
        if active:
            self.environment.control("list", "hide", workers=self._worker_names(trouble))
        else:
            self.environment.control("list", "true")

    def _ghosts(self, trouble, active):
        zone = self.day.fleet.zones[0]
        addresses = {f"ghost-{k}": ["127.0.0.1", 9, zone] for k in range(trouble.count)}
        self.environment.control("list", "ghosts" if active else "true", addresses=addresses)

    def _site_loss(self, trouble, active):
        fleet = self.day.fleet
        zone_index = fleet.zones.index(trouble.site)
        indices_at_site = lambda count: range(zone_index, count, len(fleet.zones))  # noqa: E731
        if "workers" in trouble.parts:
            self._crash([f"worker-{k}" for k in indices_at_site(fleet.workers - fleet.spare)], active)
        for role, count in (("managers", fleet.managers), ("proxies", fleet.proxies)):
            if role in trouble.parts:
                for index in indices_at_site(count):
                    (self.environment.kill if active else self.environment.start)(
                        f"{'manager' if role == 'managers' else 'proxy'}-{index}"
                    )

    def _unreached(self, trouble, active):
        paths = ["/probe" if trouble.by == "managers" else "/t"] if active else []
        self.environment.control("workers", "unheard", workers=self._worker_names(trouble), paths=paths)

    def _store_hang(self, trouble, active):
        for manager_index in trouble.managers:
            self.environment.set_store_hung(f"manager-{manager_index}", active)

    def _store_answers_lost(self, trouble, active):
        for manager_index in trouble.managers:
            self.environment.set_store_answers_lost(f"manager-{manager_index}", active)

    def _clock_step(self, trouble, active):
        self.environment.step_clock(f"manager-{trouble.manager}", round(trouble.by_s * 1e6) if active else 0)

    def _manager_kill(self, trouble, active):
        (self.environment.kill if active else self.environment.start)(f"manager-{trouble.manager}")

    def _manager_stall(self, trouble, active):
        (self.environment.pause if active else self.environment.resume)(f"manager-{trouble.manager}")

    def _proxy_kill(self, trouble, active):
        (self.environment.kill if active else self.environment.start)(f"proxy-{trouble.proxy}")

    def _proxy_wipe(self, trouble, active):
        if not active:
            self.environment.wipe(f"proxy-{trouble.proxy}")
        (self.environment.kill if active else self.environment.start)(f"proxy-{trouble.proxy}")

    def _lose_manager(self, trouble, active):
        self.environment.control(f"proxy-{trouble.proxy}", "lose", manager=f"manager-{trouble.manager}", on=active)

    def _balancer_deaf(self, trouble, active):
        """A balancer stops reading; the manager closes the connection, which it notices when it reads again."""
        self.environment.control("balancers", "deaf", balancer=trouble.balancer, on=active)

    def _slow_channel(self, trouble, active):
        for proxy_index in range(self.day.fleet.proxies):
            self.environment.control(f"proxy-{proxy_index}", "slow", us=round(trouble.ms * 1000) if active else 0)

    def _rollback(self, trouble, active):
        """An operator rolls all managers back to the tables that were in force `back_s` seconds ago."""
        if not active:
            return
        order = {
            "to": self.environment.wall_time_us() - round(trouble.back_s * 1e6),
            "key": f"rehearsal-{trouble.at_s}",
            "hold_s": trouble.for_s,
        }
        for manager in self.environment.setup.managers:
            client = Client(self.loop, manager.listen.pair)
            client.send_request(
                "POST",
                "/v3/rollback",
                [("content-type", "application/json")],
                to_json(order),
                lambda response: self.journal.write(
                    "rollback", status=response.status, text=response.body[:300].decode("latin-1")
                ),
                5_000_000,
            )

    def _report_flood(self, trouble, active):
        self.environment.control("clients", "report_flood", on=active, streams=trouble.streams, reports=trouble.reports)

    def _hot_key(self, trouble, active):
        self.environment.control("clients", "hot_key", keys=trouble.keys, share=trouble.share, on=active)


def balancer_entries(addresses):
    """The balancers as entries (name, site, address) of the front layer; balancers belong to no site."""
    return [(f"balancer-{k}", "", address) for k, address in enumerate(addresses)]


class VirtualEnvironment:
    """All services of a day on one virtual network.

    `policy` is the class that takes the decisions of managers; a test may pass one that breaks a rule. `folder` gets
    the store and the files of proxies, `log` the events of managers and file agents. `services` has the objects by
    name ("manager-0", "proxy-0", "workers", "list", "balancers", "clients"), `hosts` the virtual hosts of managers and
    proxies, and `journal_rows` what was recorded. Managers, proxies, worker list and balancers have hosts of their own.
    """

    def __init__(self, day, folder, policy=Manager, log=None):
        self.day, self.folder, self.policy, self.log = day, folder, policy, log
        self.network, self.tamper_counts = VirtualNetwork(day.seed), Counter()
        fleet = day.fleet
        self.ports = {
            "managers": range(11_000, 11_000 + fleet.managers),
            "agents": range(12_000, 12_000 + fleet.proxies),
            "proxies": range(14_000, 14_000 + fleet.proxies),
            "list": [10_000],
            "sasp": range(13_000, 13_000 + fleet.managers),
            "balancers": range(15_000, 15_000 + fleet.balancers),
            "workers": range(16_000, 16_000 + fleet.workers),
        }
        self.setup, self.journal_rows = deployment(day, self.ports), []
        self.host = self.network.host("rehearsal")
        self.journal, self.hosts, self.services, self.start_count = Journal(self.host), {}, {}, 0
        self.disk_calls, self.clock_offsets_us = {}, Counter()  # both by service name
        self.journal.rows = self.journal_rows
        specs = worker_specs(day, self.ports["workers"])
        self.services["workers"] = Workers(self.host, self.setup, specs, self.journal, day.seed, fleet.spare)
        self.services["list"] = WorkerListService(
            self.network.host("list"), self.setup, specs, self.journal, round(fleet.list_notice_s * 1e6), fleet.spare
        )
        for settings in [*self.setup.managers, *self.setup.proxies]:
            self.start(settings.name)
        proxies = [
            (proxy.name, proxy.zone, ("127.0.0.1", self.ports["proxies"][index]))
            for index, proxy in enumerate(self.setup.proxies)
        ]
        balancer_addresses = [("127.0.0.1", port) for port in self.ports["balancers"]]
        self.services["balancers"] = Balancers(
            self.network.host("balancers"), self.setup, specs, balancer_addresses, self.journal, day.seed
        )
        proxies += balancer_entries(balancer_addresses)
        folders = {proxy.name: os.path.join(folder, proxy.folder) for proxy in self.setup.proxies}
        self.file_monitor = FileMonitor(self.host, folders, os.path.join(folder, "store"), self.journal)
        start_us = self.network.time + SETTLE_US
        traffic = day.traffic.model_copy(update={"seconds": day.seconds})
        self.services["clients"] = Clients(self.host, self.setup, traffic, proxies, self.journal, day.seed, start_us)
        TroubleInjector(day, self.host, self, self.journal, start_us)
        self.end_us = start_us + round(
            (day.seconds + TAIL_S + max(settings.client_timeout_s for settings in day.classes)) * 1e6
        )

    def wall_time_us(self):
        """The time of day, without the offsets of single managers."""
        return self.network.time

    def control(self, service, command, **arguments):
        """Send a control command to a service; ignored where its host is dead."""
        if service in self.services and (service not in self.hosts or self.hosts[service].alive):
            self.services[service].control(command, **arguments)

    def start(self, name):
        """Start a manager or proxy on a new host; its files stay from the process before."""
        self.start_count += 1
        host = self.network.host(name)
        calls = self.disk_calls[name] = InlineCalls(host, Disk(flush=False))
        log = TeeLog(self.journal, self.log)
        if name.startswith("manager"):
            self.services[name] = ManagerService(
                host,
                self.setup,
                name,
                os.path.join(self.folder, "store"),
                calls,
                log,
                self.day.seed * 1000 + self.start_count,
                self.policy,
                lambda: host.now() + self.clock_offsets_us[name],
            )
        else:
            index = int(name.rpartition("-")[2])
            self.services[name] = Proxy(
                host,
                self.setup,
                name,
                os.path.join(self.folder, f"proxy-{index}"),
                ("127.0.0.1", self.ports["proxies"][index]),
                self.journal,
                log,
                f"{self.day.seed}/{self.start_count}",
                calls,
            )
            if self.day.tampered:
                self._insert_relay(host, name, index)
        self.hosts[name] = host

    def _insert_relay(self, host, name, index):
        """Lead the pushes to this proxy's agent through a relay that tampers with a share of them."""
        agent, listen = self.services[name].agent, ("127.0.0.1", 18_000 + index)
        relay = TamperingRelay(
            host, listen, agent.address, self.day.tampered, f"{self.day.seed}/{self.start_count}", self.tamper_counts
        )
        agent.address = relay.server.address

    def kill(self, name):
        """Kill a manager or proxy; its host never runs again."""
        self.hosts[name].kill()
        self._record_down(name)

    def _record_down(self, name):
        role = "manager" if name.startswith("manager") else "proxy"
        self.journal.write(f"{role}_down", **{role: name})

    def set_store_hung(self, name, active):
        """Have the calls of a manager to the store hang, or release the calls that wait."""
        if active:
            self.disk_calls[name].hold_calls = True
        else:
            self.disk_calls[name].release()

    def set_store_answers_lost(self, name, active):
        """Have the store carry out the calls of a manager without returning results, or end that."""
        self.disk_calls[name].lose_results = active

    def step_clock(self, name, by_us):
        """Set the offset of a manager's time of day, in microseconds."""
        self.clock_offsets_us[name] = by_us

    def pause(self, name):
        """Stop a manager or proxy as SIGSTOP does."""
        self.hosts[name].pause()

    def resume(self, name):
        """Continue a paused manager or proxy."""
        self.hosts[name].resume()

    def wipe(self, name):
        """Delete the files of a proxy."""
        shutil.rmtree(os.path.join(self.folder, name), ignore_errors=True)

    def run(self):
        """Run to the end of the day and return the journal rows."""
        self.network.run(self.end_us)
        self.file_monitor.stop()
        return self.journal_rows


def play_virtually(day, folder, policy=Manager, log=None):
    """(account, environment) of a day run in virtual time; files are written below `folder`."""
    environment = VirtualEnvironment(day, folder, policy, log)
    return audit(day, environment.run()), environment
