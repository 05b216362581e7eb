"""One manager of a run of `soak_drains`: its successive processes, its relay and agent, and the fault proxies."""

import os
import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

from .drain_day_peers import Callers, DiscoveryAgent, ListReader
from .fault_proxy import UNIMPAIRED, FaultProxy
from .peers import SECOND
from .program_case import ROOT, Program, format_address, free_address
from .rule_checking_relay import CALL_BROKEN_US, CALL_SILENT_US, NEWS_BROKEN_US, RuleCheckingRelay
from .soak_final_answers import KILL_AFTER_S

FAULTY_FRACTION = 0.4  # of the managers: some of their system calls fail
MAX_JOIN_DELAY_US = SECOND  # all proxies join within this time once a manager is in use
MAX_READY_S, MIN_RUN_S = 10.0, 1.5  # from start to first answer; in use before it is signalled
KILL_UNREAD_S = 0.7  # a paused program may not have read what was sent during this time before SIGKILL
# After SIGHUP: when the old connections are closed; for how long the time limits are paused.
OLD_LINKS_CLOSE_US, MOVE_PAUSE_US = SECOND * 3 // 2, 4 * SECOND
FIRST_MANAGER_HOST = 10  # last part of the address of the first manager


def loopback_host(number):
    """Return a loopback address of this process.

    No port of it is ever used as a source port of a dial, and no other soak process listens on it.
    """
    return f"127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}.{number}"


@dataclass
class ProcessRun:
    """One process of a manager. Times are of `time.monotonic()`, and None until the event has happened."""

    number: int
    process: subprocess.Popen
    log: Path  # receives the standard error of the process
    started_at: float
    started_unix: float  # `started_at` as wall-clock time
    callers: Callers
    answered_at: float | None = None
    terminated_at: float | None = None  # when SIGTERM was sent
    killed_at: float | None = None


class SteeredManager:
    """One manager of a soak run.

    Holds its successive processes, its relay and discovery agent, and the fault proxies through which it reaches them.
    """

    def __init__(self, day, number, tables):
        self.day, self.loop, self.number = day, day.loop, number
        self.host = loopback_host(FIRST_MANAGER_HOST + number)
        folder = day.folder / f"n{number}"
        folder.mkdir()
        self.program = Program(folder, f"n{number}", self.host)
        self.faulty_seed = day.rng.getrandbits(16) if day.rng.random() < FAULTY_FRACTION else None
        self.process_run, self.run_count, self.known = None, 0, None
        self.relay = RuleCheckingRelay(
            self.loop,
            free_address(self.host),
            setup=day.settings["FamilyInfo"],
            slices=tables,
            grace_us=int(day.settings["Rules"]["DrainGraceS"] * SECOND),
            blackhole_us=int(day.settings["FamilyInfo"]["BlackholeS"] * SECOND),
            proxies=range(day.proxies),
            departed=day.departed,
            reports_current_state=day.reports_current_state,
        )
        self.agent = DiscoveryAgent(self.loop, free_address(self.host))
        self.relay_proxy = FaultProxy(self.loop, self.program.relay_address, self.relay.address)
        self.discovery_proxy = FaultProxy(
            self.loop, self.program.discovery_address, self.agent.listener.address, self._make_list_reader
        )

    def _make_list_reader(self):
        return ListReader(self.relay.record_list)

    @property
    def in_use(self):
        """Whether the relay counts the manager as running and answering."""
        return self.relay.manager_in_use

    @property
    def steady(self):
        """Whether the manager has been in use for long enough to be signalled."""
        return self.in_use and time.monotonic() - self.process_run.answered_at > MIN_RUN_S

    # Processes.

    def start(self):
        """Start a process of the manager with its list and settings."""
        known = self.known = self._starting_list()
        self.program.config |= {"known": known, "settings": self.day.settings}
        self.program.write(self.program.config)
        self.run_count += 1
        log_path = self.day.folder / f"n{self.number}-{self.run_count}.log"
        command = self.day.command or ([] if self.faulty_seed is None else self._faulty_command())
        with open(log_path, "w") as log_file:
            process = self.program.start(*command, stdout=subprocess.DEVNULL, stderr=log_file)
        self.process_run = ProcessRun(
            self.run_count, process, log_path, time.monotonic(), time.time(), Callers(self.program.listen_address)
        )
        self.relay.begin_incarnation(known["seq"], known["hosts"])
        self.day.note(f"{self} started" + ("" if self.faulty_seed is None else ", calls fail"))

    def _starting_list(self):
        """Return the current list; from the second process on, at times the list that the previous one started with."""
        if self.known is not None and self.day.rng.random() < 0.5:
            return self.known
        return {"seq": self.day.seq, "whole": True, "hosts": list(self.day.entries.values())}

    def _faulty_command(self):
        return [
            str(ROOT / ".venv" / "bin" / "python"),
            "-m",
            "tests.faulty_program",
            str(self.faulty_seed + self.run_count),
        ]

    def __str__(self):
        return f"n{self.number}.{self.run_count}"

    def tick(self):
        """Read what callers have received, and handle readiness and exit of the process."""
        process_run = self.process_run
        if process_run is None:
            return
        process_run.callers.read()
        process_run.callers.keep_up()
        if process_run.answered_at is None and process_run.terminated_at is None and process_run.callers.answered:
            self._handle_ready()
        if process_run.process.poll() is not None:
            self._handle_exit()

    def _handle_ready(self):
        self.process_run.answered_at = time.monotonic()
        startup_s = self.process_run.answered_at - self.process_run.started_at
        self.day.result.not_ready += startup_s > MAX_READY_S
        self.day.note(f"{self} ready after {startup_s:.2f} s")
        self.relay.mark_in_use()
        for proxy in range(self.day.proxies):
            self.loop.after(self.day.rng.randrange(MAX_JOIN_DELAY_US), lambda proxy=proxy: self.relay.connect(proxy))

    def send_pings(self):
        """Send a PING from each caller."""
        if self.process_run is not None:
            self.process_run.callers.ask()

    def crowd(self, count, data):
        """Open this many connections that send `data` and then nothing; they are closed with the process."""
        if self.process_run is not None:
            self.process_run.callers.crowd(count, data)

    def report(self, messages):
        """Send `messages`, reports of proxies, through a collector while the manager is in use."""
        if self.in_use:
            self.process_run.callers.report(messages)

    def signal(self, signal_number):
        """Send a signal to the process if it runs."""
        if self.process_run is not None and self.process_run.process.poll() is None:
            self.process_run.process.send_signal(signal_number)

    def terminate(self, rng):
        """Send SIGTERM, at times followed by other signals or while the program is paused; SIGKILL follows later."""
        process_run, is_paused = self.process_run, rng.random() < 0.5
        if is_paused:
            self.signal(signal.SIGSTOP)
        process_run.callers.ask()
        process_run.terminated_at = time.monotonic()
        self.relay.end_incarnation()
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)
        for _ in range(rng.randint(0, 3)):
            signal_number = rng.choice([signal.SIGHUP, signal.SIGTERM])
            self.loop.after(
                rng.randrange(50_000),
                lambda signal_number=signal_number: self._signal_if_current(process_run, signal_number),
            )
        self.day.note(f"{self} SIGTERM" + (", paused before" if is_paused else ""))
        self.loop.after(int(KILL_AFTER_S * SECOND), lambda: self.kill(process_run))

    def _signal_if_current(self, process_run, signal_number):
        if process_run is self.process_run:
            self.signal(signal_number)

    def kill(self, process_run):
        """Send SIGKILL unless that process has ended."""
        if process_run is not self.process_run or process_run.process.poll() is not None:
            return
        process_run.killed_at = time.monotonic()
        self.relay.end_incarnation()
        self.day.note(f"{self} SIGKILL")
        self.signal(signal.SIGKILL)

    def pause(self, span_us):
        """Stop the process by SIGSTOP for `span_us`."""
        process_run = self.process_run
        self.signal(signal.SIGSTOP)
        self.loop.after(span_us, lambda: self._signal_if_current(process_run, signal.SIGCONT))

    def _handle_exit(self):
        process_run, self.process_run, exit_code = self.process_run, None, self.process_run.process.returncode
        self.relay.end_incarnation()
        self.day.note(f"{self} ended with {exit_code}")
        self._check_exit(process_run, exit_code)
        self._count_answers(process_run)
        self.day.handle_process_end(self, process_run)

    def _check_exit(self, process_run, exit_code):
        if process_run.terminated_at is not None and exit_code == -signal.SIGKILL:
            self.day.result.not_ended += 1
        elif exit_code != (
            0
            if process_run.terminated_at is not None
            else -signal.SIGKILL
            if process_run.killed_at is not None
            else None
        ):
            self.day.result.crashes += 1
        if process_run.answered_at is None and time.monotonic() - process_run.started_at > MAX_READY_S:
            self.day.result.not_ready += 1

    def _count_answers(self, process_run):
        killed_without_sigterm = process_run.terminated_at is None and process_run.killed_at is not None
        read_by = process_run.killed_at - KILL_UNREAD_S if killed_without_sigterm else time.monotonic()
        unanswered_callers = process_run.callers.find_unanswered(process_run.terminated_at or float("inf"), read_by)
        self.day.result.asked += process_run.callers.ping_count
        self.day.result.unanswered += sum(caller.unanswered for caller in unanswered_callers)
        for caller in unanswered_callers:
            self.day.note(f"BROKEN by {self}: unanswered, {caller.describe(self.day.began_at / SECOND)}")

    # Faults of the connections to relay and discovery.

    def reload(self):
        """Give relay and discovery new addresses and send SIGHUP.

        The old addresses accept no new connection, and their open ones close after OLD_LINKS_CLOSE_US.
        """
        old_proxies = (self.relay_proxy, self.discovery_proxy)
        self.relay_proxy = FaultProxy(self.loop, free_address(self.host), self.relay.address)
        self.discovery_proxy = FaultProxy(
            self.loop, free_address(self.host), self.agent.listener.address, self._make_list_reader
        )
        self.program.config["hub"]["address"] = format_address(self.relay_proxy.address)
        self.program.config["discovery"] = format_address(self.discovery_proxy.address)
        self.program.write(self.program.config)
        self.relay.pause_limits(MOVE_PAUSE_US)
        for proxy in old_proxies:
            proxy.close(close_connections_after_us=OLD_LINKS_CLOSE_US)
        self.signal(signal.SIGHUP)

    def reset_relay(self):
        """Reset the connections to the relay, and pause the time limits if there were any."""
        had_news = bool(self.relay.news_streams)
        had_calls = self.relay_proxy.reset()
        if had_news or had_calls:
            self.relay.pause_limits(NEWS_BROKEN_US if had_news else CALL_BROKEN_US)

    def silence_relay(self):
        """Keep open connections to the relay open but forward no more data, which breaks the news too."""
        self.relay_proxy.silence()
        self.relay.pause_limits(NEWS_BROKEN_US if self.relay.news_streams else CALL_SILENT_US)

    def degrade_links(self, impairment, span_us):
        """Delay and split the data of both fault proxies for `span_us`."""
        for proxy in (self.relay_proxy, self.discovery_proxy):
            proxy.impair(impairment)
            self.loop.after(span_us, lambda proxy=proxy: proxy.impair(UNIMPAIRED))
