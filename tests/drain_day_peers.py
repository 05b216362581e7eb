"""The peers of the managers on a day of `soak_drains`: discovery's agents, callers and servers."""

import contextlib
import json
import select
import signal
import socket
import subprocess
import time
from dataclasses import dataclass

from ospreyrouter.node import frames

from .fault_proxy import FaultProxy
from .peers import SECOND, StandInDiscovery
from .program_case import ROOT, format_address, free_address
from .soak_final_answers import PingCaller

ZONES = ("a", "b")
UNIDENTIFIED_CALLERS = 2  # connected to a manager at a time
UNIDENTIFIED_LIMIT_S = 0.85  # a caller that does not identify itself is rejected after this time
CROWD_CONNECTS_S = 0.02  # a crowd's connections are open within this time
HEARTBEAT_US = 2 * SECOND  # between the empty lines of a watch


class ListReader:
    """Reads the lines of a watch as they are written to a manager; calls `on_list(seq, whole, entries)` for each."""

    def __init__(self, on_list):
        self.on_list, self.buffer, self.body, self.in_body = on_list, b"", b"", False

    def __call__(self, data):
        self.buffer += data
        if not self.in_body:
            _, self.in_body, rest = self.buffer.partition(b"\r\n\r\n")
            self.buffer = rest if self.in_body else self.buffer
        while self.in_body and self._read_chunk():
            pass
        *lines, self.body = self.body.split(b"\n")
        for line in filter(None, lines):
            message = json.loads(line)
            self.on_list(message["seq"], message["whole"], message["hosts"])

    def _read_chunk(self):
        """Moves one chunk from the buffer to the body; returns whether it was complete."""
        size, found, rest = self.buffer.partition(b"\r\n")
        if not found or len(rest) < int(size, 16) + 2:
            return False
        self.body += rest[: int(size, 16)]
        self.buffer = rest[int(size, 16) + 2 :]
        return True


class DiscoveryAgent(StandInDiscovery):
    """Discovery's agent of one manager; changes published while it is silent are sent when the silence ends."""

    def __init__(self, loop, address):
        super().__init__(loop, address)
        self.unsent, self.seq = {}, 0
        loop.after(HEARTBEAT_US, self._send_heartbeats)

    def _send_heartbeats(self):
        if not self.silent:
            for stream in self.streams:
                stream.write(b"1\r\n\n\r\n")
        self.loop.after(HEARTBEAT_US, self._send_heartbeats)

    def publish(self, seq, entries, changed):
        """Sends the entry `changed` to the open watches; `entries` is the whole list, for watches that begin later."""
        self.seq, self.lines = seq, [json.dumps({"seq": seq, "whole": True, "hosts": entries})]
        self.unsent[changed["host"]] = changed
        if not self.silent:
            self._send_changes()

    def _send_changes(self):
        if self.unsent:
            self.send_list(self.seq, False, *self.unsent.values())
        self.unsent = {}

    def silence(self, span_us):
        """Sends nothing for `span_us` microseconds."""
        self.silent = True
        self.loop.after(span_us, self._end_silence)

    def _end_silence(self):
        self.silent = False
        self._send_changes()


class Caller(PingCaller):
    """One caller of a manager. With `zone` it identifies itself as a collector of that zone and stays connected."""

    def __init__(self, address, zone=None):
        super().__init__(socket.create_connection(address, timeout=1.0))
        self.zone, self.connected_at = zone, time.monotonic()
        if zone is not None:
            self.send({"msg": "SOURCE", "az": zone})

    def send(self, *messages):
        """Sends messages, each a dictionary, unless the connection has ended."""
        try:
            self.sock.sendall(b"".join(map(frames.encode_frame, messages)))
        except OSError:
            self.ended = True


class Callers:
    """The callers of one process of a manager: a collector of each zone and unidentified ones; those that end are
    replaced."""

    def __init__(self, address):
        self.address, self.connected, self.former, self.crowded = address, [], [], []

    def keep_up(self):
        """Replaces the callers whose connections have ended."""
        for caller in [caller for caller in self.connected if caller.ended]:
            self.connected.remove(caller)
            self.former.append(caller)
        zones = [caller.zone for caller in self.connected]
        missing = [zone for zone in ZONES if zone not in zones] + [None] * (UNIDENTIFIED_CALLERS - zones.count(None))
        for zone in missing:
            try:
                self.connected.append(Caller(self.address, zone))
            except OSError:  # the manager does not listen yet, or no longer
                return

    def crowd(self, count, data):
        """Opens this many connections that send `data` and then nothing, as far as the manager accepts them."""
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            self.crowded.append(sock)
            sock.connect_ex(self.address)
        for sock in select.select([], self.crowded, [], CROWD_CONNECTS_S)[1]:
            with contextlib.suppress(OSError):
                sock.send(data)

    def ask(self):
        """Sends a PING from each caller."""
        for caller in self.connected:
            caller.ask()

    def report(self, messages):
        """Sends reports from the collector of the first zone."""
        for caller in self.connected:
            if caller.zone == ZONES[0] and not caller.ended:
                caller.send(*messages)

    def read(self):
        """Reads what has arrived; connections without data are seen open at this time."""
        live = {caller.sock: caller for caller in self.connected if not caller.ended}
        checked_at = time.monotonic()
        ready = set(select.select(list(live), [], [], 0)[0])
        for sock, caller in live.items():
            if sock in ready:
                caller.read()
            else:
                caller.open_at = checked_at

    @property
    def answered(self):
        """Whether the manager has answered a PING."""
        return any(frames.PONG in caller.received for caller in self.connected + self.former)

    def find_unanswered(self, sigterm_at, read_by):
        """The callers with PINGs that should have been answered, as `UnansweredCaller`, once the process has ended.

        `sigterm_at` is when SIGTERM was sent. PINGs sent after `read_by` may not have been read by the process. Both
        are times of `time.monotonic`.
        """
        for sock in self.crowded:
            sock.close()
        callers, found = self.connected + self.former, []
        for caller in callers:
            while not caller.ended:
                caller.read()
            caller.sock.close()
            answer_due_until = min(caller.answer_due_until(self._effective_sigterm(caller, sigterm_at)), read_by)
            unanswered, _ = caller.unanswered(answer_due_until)
            if unanswered:
                found.append(
                    UnansweredCaller(
                        caller.zone, unanswered, caller.connected_at, caller.open_at, answer_due_until, caller.sent
                    )
                )
        return found

    @staticmethod
    def _effective_sigterm(caller, sigterm_at):
        """`sigterm_at`; infinite for an unidentified caller that may have been rejected at that very moment."""
        may_be_rejected = caller.zone is None and sigterm_at - caller.connected_at > UNIDENTIFIED_LIMIT_S
        return float("inf") if may_be_rejected else sigterm_at

    @property
    def ping_count(self):
        """The number of PINGs sent."""
        return sum(len(caller.sent) for caller in self.connected + self.former)


@dataclass
class UnansweredCaller:
    """One caller with unanswered PINGs. Times are of `time.monotonic`."""

    zone: str | None
    unanswered: int
    connected_at: float
    open_at: float
    answer_due_until: float
    sent: list

    def describe(self, began_s):
        """A line of text, with times in milliseconds since the day began at `began_s`."""
        times = (self.connected_at, self.sent[-self.unanswered], self.answer_due_until, self.open_at)
        connected, first, due_until, last_open = (round((at - began_s) * 1000) for at in times)
        return (
            f"{'collector of ' + self.zone if self.zone else 'unidentified'}: {self.unanswered} of {len(self.sent)}"
            f" PINGs, connected {connected}, first unanswered about {first}, answers due until {due_until},"
            f" last seen open {last_open}"
        )


class ServerProcess:
    """A server as a process, behind a fault proxy whose address the list names."""

    def __init__(self, loop, host, name):
        self.name, self.address, self.health, self.process = name, free_address(host), "gone", None
        self.proxy = FaultProxy(loop, free_address(host), self.address)
        self.dial = format_address(self.proxy.address)

    def start(self):
        """Starts the process."""
        python = str(ROOT / ".venv" / "bin" / "python")
        command = [python, "-m", "tests.drain_worker", self.address[0], str(self.address[1])]
        self.process, self.health = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL), "active"

    def drain(self):
        """Makes the server drain: it answers 503 from now on."""
        self.process.send_signal(signal.SIGUSR1)
        self.health = "leaving"

    def stop(self):
        """Stops the process by SIGSTOP until `resume`."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Continues the process after `stop`."""
        self.process.send_signal(signal.SIGCONT)

    def end(self):
        """Kills the process if there is one."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.health = "gone"
