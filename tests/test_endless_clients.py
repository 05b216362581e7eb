"""Clients that send without end, stop in the middle or send what cannot be read: the others are still served."""

import select
import socket
import threading
import time
import unittest
from pathlib import Path
from unittest.mock import patch

from ospreyrouter.node import frames
from ospreyrouter.web import Server, connection
from ospreyrouter.web import server as web_server

from .peers import LOOPBACK, SECOND, LiveCase, StandInDiscovery, StandInRelay
from .program_case import ProgramCase

PING = frames.encode_frame({"msg": "PING"})
JOIN = frames.encode_frame({"msg": "SOURCE", "az": "a"})
REPORT = frames.encode_frame({"msg": "SHARD", "partition": 1, "kind": "read", "n": 40, "bad": 1, "window": 1000.0})
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
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

    def test_hundreds_of_clients_that_send_at_once_keep_no_other_from_its_answer(self):
        self.begin()
        for name, data in {"PINGs": PING * 10_000, "reports": REPORT * 3000, "slow heads": b"\0\0"}.items():
            with self.subTest(name):
                senders = [socket.create_connection(self.listen_address, 10) for _ in range(300)]
                for sender in senders:
                    self.addCleanup(sender.close)
                    sender.setblocking(False)
                for sender in senders:
                    try:
                        sender.send(data)
                    except OSError:  # it was rejected already
                        pass
                is_pong = frames.PONG.__eq__
                self.assertLess(longest_wait(self.listen_address, PING, is_pong, 2.0), 2 * MAX_WAIT_S)
        self.assertLess(memory_mb(self.process), MEMORY_MB)


class HttpServerTest(LiveCase):
    """`web.Server`, run in a thread of its own."""

    LIMIT = 8 << 20  # of what the server buffers

    def serve(self, answer_after_us=0):
        """Start a server that answers each request after that time."""

        def handle(request):
            if answer_after_us:
                self.loop.after(answer_after_us, lambda: request.respond(200))
            else:
                request.respond(200)

        self.server = Server(self.loop, LOOPBACK, handle, max_buffered=self.LIMIT)
        self.addCleanup(self.server.close)
        thread = threading.Thread(target=self.loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(self.loop.stop)

    def longest_wait(self):
        """The longest wait of another client for its answer while FLOOD_S pass."""
        return longest_wait(self.server.address, GET, lambda data: data.startswith(b"HTTP/1.1 200"), FLOOD_S / 2)

    def test_a_client_that_sends_without_end_keeps_no_other_from_its_answer(self):
        self.serve()
        chunked = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        cases = {
            "small requests": {"repeated": GET * 2000},
            "tiny chunks": {"repeated": chunked + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"},
            "heads of many fields": {"repeated": b"GET / HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * 190 + b"\r\n"},
            "a head without end": {"first": GET[:-2], "repeated": b"a:\r\n" * 5000},
        }
        for name, data in cases.items():
            with self.subTest(name):
                senders = [EndlessSender(self.server.address, **data) for _ in range(8)]
                wait_s = self.longest_wait()
                for sender in senders:
                    sender.stop()
                self.assertLess(wait_s, MAX_WAIT_S)

    def test_what_hundreds_of_clients_left_half_sent_has_a_common_limit(self):
        self.serve(answer_after_us=SECOND)
        half_body = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n" + b"x" * 400_000
        for name, data in {"half bodies": half_body, "requests behind one": GET * 20_000}.items():
            with self.subTest(name):
                callers = [socket.create_connection(self.server.address, 10) for _ in range(100)]
                for caller in callers:
                    caller.setblocking(False)
                    self.addCleanup(caller.close)
                unsent, most, end_s = dict.fromkeys(callers, data), 0, time.monotonic() + 2
                while time.monotonic() < end_s:
                    for caller in list(unsent):
                        try:
                            unsent[caller] = unsent[caller][caller.send(unsent[caller][:50_000]) :]
                        except BlockingIOError:
                            continue
                        except OSError:
                            del unsent[caller]
                    most = max(most, self.server.buffered)
                self.assertLessEqual(most, self.LIMIT + 200 * connection.READ_SIZE)
                self.assertLess(self.longest_wait(), 1 + MAX_WAIT_S)
                for caller in callers:
                    caller.close()

    def test_a_client_over_a_limit_gets_the_answer_of_the_protocol(self):
        self.serve()
        for status, data in (
            (431, GET[:-2] + b"a:\r\n" * 5000 + b"\r\n"),
            (431, GET[:-2] + b"a" * (40 << 10)),
            (413, b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 90000000\r\n\r\n" + b"x" * 1_000_000),
        ):
            with self.subTest(status=status), socket.create_connection(self.server.address, 5) as caller:
                caller.sendall(data)
                self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 %d" % status))

    def test_requests_of_a_client_that_has_left_are_not_handled_afterwards(self):
        self.serve(answer_after_us=SECOND // 10)
        for data in (GET * 50, GET * 2000):  # with and without a pause of reading
            with self.subTest(size=len(data)):
                before = self.server.counts["requests"]
                caller = socket.create_connection(self.server.address, 5)
                caller.sendall(data)
                time.sleep(0.05)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                caller.close()
                time.sleep(1.0)
                self.assertLessEqual(self.server.counts["requests"] - before, 2)  # one when it left, one more at most

    def test_half_a_request_is_refused_after_its_deadline(self):
        with patch.object(web_server, "MAX_REQUEST_US", SECOND // 2):
            self.serve()
            for data in (GET[:10], b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx"):
                with self.subTest(data=data), socket.create_connection(self.server.address, 5) as caller:
                    caller.sendall(data)
                    self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 408"))


if __name__ == "__main__":
    unittest.main()
