"""Clients that send without end, stop in the middle or send what cannot be read: the others are still served."""

import select
import socket
import threading
import time
from pathlib import Path

from ospreyrouter.node import frames

from .peers import StandInDiscovery, StandInRelay
from .program_case import ProgramCase

PING = frames.encode_frame({"msg": "PING"})
JOIN = frames.encode_frame({"msg": "SOURCE", "az": "a"})
REPORT = frames.encode_frame({"msg": "SHARD", "partition": 1, "kind": "read", "n": 40, "bad": 1, "window": 1000.0})
FLOOD_S = 3.0
MAX_WAIT_S = 0.5  # of another client for its answer
MEMORY_MB = 192  # limit of the settings


class EndlessSender(threading.Thread):
    """A client that connects, sends `first` and then `repeated` until its connection ends or `stop()` is called.

    `make_data(number)`, if given, replaces `repeated`. `received` is what it was sent.
    """

    def __init__(self, address, first=b"", repeated=b"", make_data=None):
        super().__init__(daemon=True)
        self.sock, self.first, self.received = socket.create_connection(address), first, b""
        self.make_data, self.running = make_data or (lambda number: repeated), True
        self.start()

    def run(self):
        """Send and receive."""
        number, unsent = 0, self.first
        try:
            while self.running:
                if not unsent:
                    unsent, number = self.make_data(number), number + 1
                readable, writable, _ = select.select([self.sock], [self.sock], [], 0.1)
                if readable:
                    data = self.sock.recv(65536)
                    if not data:
                        return
                    self.received += data
                if writable:
                    unsent = unsent[self.sock.send(unsent) :]
        except OSError:
            pass

    def stop(self):
        """End the connection."""
        self.running = False
        self.join(5)
        self.sock.close()


def longest_wait(address, request, is_answer, seconds):
    """The longest time, in seconds, for which a client on a new connection waits for its answer."""
    longest_s, end_s = 0.0, time.monotonic() + seconds
    while time.monotonic() < end_s:
        began_s = time.monotonic()
        with socket.create_connection(address, 10) as caller:
            caller.sendall(request)
            answered = is_answer(caller.recv(4096))
        longest_s = max(longest_s, time.monotonic() - began_s if answered else float("inf"))
        time.sleep(0.02)
    return longest_s


def memory_mb(process):
    """The highest resident memory of a process so far, in MiB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]) / 1024


class ManagerAddressTest(ProgramCase):
    """The manager's address, as a process."""

    def begin(self):
        """Start the program, which joins its peers."""
        self.write(self.config | {"limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}})
        StandInRelay(self.loop, self.relay_address)
        StandInDiscovery(self.loop, self.discovery_address)
        self.process = self.start_program()
        self.wait_until(self.responds_to_ping)

    def test_a_client_that_sends_without_end_keeps_no_other_from_its_answer(self):
        self.begin()
        cases = {
            "reports before joining": {"repeated": REPORT * 2000},
            "PINGs": {"repeated": PING * 5000},
            "reports after joining": {"first": JOIN, "repeated": REPORT * 2000},
            "no reports after joining": {"first": JOIN, "repeated": frames.encode_frame({"msg": "x"}) * 5000},
            "ever new names": {
                "first": JOIN,
                "make_data": lambda number: b"".join(
                    frames.encode_frame({"msg": "LOAD", "az": "a", "host": f"h{number}-{index}", "n": 1, "bad": 0})
                    for index in range(500)
                ),
            },
            "empty lists": {"first": JOIN, "repeated": (b"\0\0\0\2[]") * 20000},
        }
        for name, data in cases.items():
            with self.subTest(name):
                sender = EndlessSender(self.listen_address, **data)
                wait_s = longest_wait(self.listen_address, PING, lambda data: data == frames.PONG, FLOOD_S)
                sender.stop()
                self.assertLess(wait_s, MAX_WAIT_S)
                if "first" not in data:
                    self.assertTrue(frames.NACK in sender.received, f"no NACK in {len(sender.received)} bytes")
        self.assertLess(memory_mb(self.process), MEMORY_MB)

    def test_large_messages_half_sent_do_not_pass_the_memory_limit(self):
        self.begin()
        half_message = JOIN + frames.MAX_FRAME.to_bytes(4, "big") + b"[" * (frames.MAX_FRAME - 1)
        for _ in range(400):
            with socket.create_connection(self.listen_address) as caller:
                caller.sendall(half_message)
        self.assertLess(longest_wait(self.listen_address, PING, lambda data: data == frames.PONG, 0.5), MAX_WAIT_S)
        self.assertLess(memory_mb(self.process), MEMORY_MB)
