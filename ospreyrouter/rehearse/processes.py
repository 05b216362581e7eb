"""Runs a day on loopback sockets. Each manager and proxy is a process; so are all workers together, the worker list,
the clients and all balancers together.

The stand-ins read the day and the ports from the file `stage.json`. Troubles reach stand-ins and proxies by
`POST /control`; processes are killed and paused by signals. All times are microseconds of the machine's monotonic
clock, which the processes share.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import orjson

from ..loop import Loop
from ..loop.real import monotonic_us
from ..standins import Journal
from ..standins.journal import read_journal
from ..store.tables import wall_clock_us
from ..web import Client
from .audit import audit
from .day import Day, deployment, worker_specs
from .play import SETTLE_US, TAIL_S, TroubleInjector
from .watch import FileMonitor

MAX_START_S = 20.0  # until a started process listens


def free_ports(count):
    """Ports of 127.0.0.1 that are free at the moment, all below the range of ephemeral ports.

    An ephemeral port could be given to an outgoing connection before its listener is started.
    """
    sockets, port = [], Random().randrange(10_000, 28_000)
    try:
        while len(sockets) < count:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", port))
                sockets.append(sock)
            except OSError:
                sock.close()
            port = port + 1 if port < 31_900 else 10_000
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def read_environment(path):
    """(day, deployment, worker specs, ports) from the file `stage.json` of a rehearsal; ports are lists by purpose."""
    data = orjson.loads(Path(path).read_bytes())
    day, ports = Day.model_validate_json(orjson.dumps(data["day"])), data["ports"]
    return day, deployment(day, ports), worker_specs(day, ports["workers"]), ports


class ProcessEnvironment:
    """Starts, kills, pauses and restarts the processes of a day.

    `folder` gets the deployment file, `stage.json`, the store, the table files, and a log and a journal of each
    process. `control_ports` has the ports for control commands by service. The object has the methods of
    VirtualEnvironment that TroubleInjector calls. Troubles that cannot be caused on a real machine are recorded as
    `unplayed`.
    """

    def __init__(self, day, folder, loop):
        self.day, self.folder, self.loop = day, Path(folder).absolute(), loop
        fleet = day.fleet
        port_counts = {
            "managers": fleet.managers,
            "agents": fleet.proxies,
            "proxies": fleet.proxies,
            "list": 1,
            "workers": fleet.workers,
            "control": fleet.proxies + 4,
            "balancers": fleet.balancers,
        } | ({"sasp": fleet.managers} if fleet.balancers else {})
        unassigned = iter(free_ports(sum(port_counts.values())))
        self.ports = {name: [next(unassigned) for _ in range(count)] for name, count in port_counts.items()}
        self.setup = deployment(day, self.ports)
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "deployment.json").write_text(self.setup.model_dump_json(indent=1))
        (self.folder / "stage.json").write_bytes(orjson.dumps({"day": day.model_dump(), "ports": self.ports}))
        self.journal = Journal(loop, self.folder / "rehearsal.journal", unbuffered=True)
        self.processes, self.start_counts, self.control_clients, self.ended = {}, {}, {}, []
        self.stopped_helpers = {}  # process ids of disk helpers that were sent SIGSTOP, by manager
        self.control_ports = {
            "workers": self.ports["control"][0],
            "list": self.ports["control"][1],
            "clients": self.ports["control"][2],
            "balancers": self.ports["control"][-1],
        }
        self.control_ports |= {f"proxy-{k}": self.ports["control"][3 + k] for k in range(fleet.proxies)}

    def command(self, name):
        """The command line of a process by its name: manager-N, proxy-N or the name of a stand-in."""
        common = [sys.executable, "-m", "ospreyrouter"]
        journal = str(self.folder / f"{name}.journal")
        if name.startswith("manager"):
            return [
                *common,
                "manager",
                str(self.folder / "deployment.json"),
                "--name",
                name,
                "--seed",
                str(self.day.seed * 1000 + self.start_counts[name]),
            ]
        if name.startswith("proxy"):
            return [
                *common,
                "proxy",
                str(self.folder / "deployment.json"),
                "--name",
                name,
                "--journal",
                journal,
                "--port",
                str(self.ports["proxies"][int(name[6:])]),
                "--control",
                str(self.control_ports[name]),
                "--seed",
                f"{self.day.seed}/{self.start_counts[name]}",
            ]
        return [
            *common,
            "standin",
            name,
            str(self.folder / "stage.json"),
            "--journal",
            journal,
            "--control",
            str(self.control_ports[name]),
        ]

    def start(self, name, *extra_arguments):
        """Start a process; its log is appended to that of the process before."""
        self.start_counts[name] = self.start_counts.get(name, 0) + 1
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self.command(name), *extra_arguments], stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL
            )

    def wait_ready(self, names):
        """Wait until all processes named have printed the line that says they listen.

        Raises RuntimeError with the end of its log if one exits, or if they take longer than MAX_START_S together.
        """
        deadline = time.monotonic() + MAX_START_S
        for name in names:
            process = self.processes[name]
            os.set_blocking(process.stdout.fileno(), False)
            while not process.stdout.read():
                if process.poll() is not None or time.monotonic() > deadline:
                    log_end = (self.folder / f"{name}.log").read_text()[-500:]
                    raise RuntimeError(f"{name} did not start: {log_end}")
                time.sleep(0.02)

    def control(self, service, command, **arguments):
        """Send a control command to a stand-in or proxy; ignored if the proxy does not run. Failures are recorded."""
        if service.startswith("proxy") and self.processes[service].poll() is not None:
            return
        client = self.control_clients.get(service)
        if client is None or client.closed:
            client = self.control_clients[service] = Client(self.loop, ("127.0.0.1", self.control_ports[service]))
        client.send_request(
            "POST",
            "/control",
            [],
            orjson.dumps({"name": command, **arguments}),
            lambda response: (
                response.status == 204
                or self.journal.write(
                    "control failed", part=service, name=command, reason=response.reason or str(response.status)
                )
            ),
            3_000_000,
        )

    def wall_time_us(self):
        """The time of day in microseconds since the epoch."""
        return wall_clock_us()

    def kill(self, name):
        """Kill a manager or proxy with SIGKILL and record it."""
        self.processes[name].kill()
        self.processes[name].wait()
        role = "manager" if name.startswith("manager") else "proxy"
        self.journal.write(f"{role}_down", **{role: name})

    def pause(self, name):
        """Stop a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Continue a process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def set_store_hung(self, name, active):
        """Stop the disk helper of a manager, a child process of it, or continue it."""
        process = self.processes[name]
        if not active:
            # Needed even if the manager was killed meanwhile: its helper exits by itself once it is continued.
            for child in self.stopped_helpers.pop(name, ()):
                self._signal(child, signal.SIGCONT)
        elif process.poll() is None:
            try:
                self.stopped_helpers[name] = (
                    Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
                )
            except OSError:
                return
            for child in self.stopped_helpers[name]:
                self._signal(child, signal.SIGSTOP)

    @staticmethod
    def _signal(child, signal_number):
        try:
            os.kill(int(child), signal_number)
        except ProcessLookupError:
            pass

    def set_store_answers_lost(self, name, active):
        """Recorded as unplayed: results of the store can be lost in virtual time only."""
        self.journal.write("unplayed", trouble="store_answers_lost", name=name)

    def step_clock(self, name, by_us):
        """Recorded as unplayed: a rehearsal does not set the clock of the machine."""
        self.journal.write("unplayed", trouble="clock_step", name=name)

    def wipe(self, name):
        """Delete the files of a proxy."""
        shutil.rmtree(self.folder / name, ignore_errors=True)

    def stop_all(self):
        """Send SIGTERM to all processes that were started, and kill those that still run after 5 s."""
        for name in list(self.stopped_helpers):
            self.set_store_hung(name, False)
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()


def play_on_sockets(day, folder, say=lambda text: None):
    """(account, environment) of a day run on loopback sockets; files are written below `folder`.

    Takes the seconds of the day and some more. `say(text)` gets a line about the progress. Raises RuntimeError if a
    process does not start.
    """
    loop = Loop()
    environment = ProcessEnvironment(day, folder, loop)
    managers, proxies = (
        [settings.name for settings in environment.setup.managers],
        [settings.name for settings in environment.setup.proxies],
    )
    try:
        services = ["workers", "list", *managers, *proxies, *(["balancers"] if day.fleet.balancers else [])]
        for name in services:
            environment.start(name)
        environment.wait_ready(services)
        say(f"{len(environment.processes)} processes listen; {day.seconds:.0f} s of traffic begin")
        start_us = monotonic_us() + SETTLE_US
        environment.start("clients", "--start-us", str(start_us))
        folders = {settings.name: str(environment.folder / settings.folder) for settings in environment.setup.proxies}
        file_monitor = FileMonitor(loop, folders, str(environment.folder / "store"), environment.journal)
        TroubleInjector(day, loop, environment, environment.journal, start_us)
        tail_s = TAIL_S + max(settings.client_timeout_s for settings in day.classes)
        loop.run(start_us + round((day.seconds + tail_s) * 1e6))
        file_monitor.stop()
    finally:
        environment.stop_all()
    rows = []
    for path in sorted(environment.folder.glob("*.journal")):
        rows += read_journal(path)
    return audit(day, rows), environment
