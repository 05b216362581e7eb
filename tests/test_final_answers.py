"""Requests that arrive just before SIGTERM must be answered.

Of 160 PINGs sent 0.1 ms before SIGTERM, 26 ended by a reset with nothing read. The program aborted every caller while
what it had read and answered was still in its buffer, and unread data in the receive buffer turned the close into a
reset. The program that serves HTTP had the same fault: of 40 requests that were unread when the signal was handled, 20
ended by a reset.
"""

import json
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from ospreyrouter.node import frames
from ospreyrouter.web import Client, Server

from .peers import LOOPBACK, SECOND, LiveCase
from .program_case import ProgramCase, free_address
from .test_cli import valid_deployment

CALLER_COUNT, ROUNDS = 40, 4
KILL_AFTER_S = 0.7  # the platform sends SIGKILL no sooner than this after SIGTERM
PING = frames.encode_frame({"msg": "PING"})


def read_until_closed(callers, seconds):
    """Read from all callers until their connections end or `seconds` are over.

    Returns for each caller the bytes it received and how its connection ended: "closed", the text of the error, or ""
    if it is still open.
    """
    received, close_reasons, open_callers = dict.fromkeys(callers, b""), dict.fromkeys(callers, ""), set(callers)
    deadline = time.monotonic() + seconds
    while open_callers and (remaining_s := deadline - time.monotonic()) > 0:
        for caller in select.select(list(open_callers), [], [], remaining_s)[0]:
            try:
                data = caller.recv(4096)
            except OSError as error:
                close_reasons[caller] = error.strerror
            else:
                received[caller] += data
                close_reasons[caller] = "" if data else "closed"
            if close_reasons[caller]:
                open_callers.discard(caller)
    return [(received[caller], close_reasons[caller]) for caller in callers]


# Nothing can be accepted while the file named by SHORTAGE_FILE exists.
ACCEPT_FAILS = """
import errno, os, socket, sys
from ospreyrouter.node import __main__

def accept(self, accept=socket.socket.accept):
    if os.path.exists(os.environ["SHORTAGE_FILE"]):
        raise OSError(errno.EMFILE, "no descriptor")
    return accept(self)

socket.socket.accept = accept
sys.exit(__main__.main())
"""


class PingsBeforeSigterm(ProgramCase):
    """The program of the node answers PINGs that arrive before it ends."""

    def connect_callers(self, count=CALLER_COUNT):
        """Return `count` connections that are closed after the test."""
        connections = [socket.create_connection(self.listen_address) for _ in range(count)]
        for caller in connections:
            self.addCleanup(caller.close)
        return connections

    def start_and_wait_until_ready(self):
        """Start the program and return its process once it is ready."""
        process = self.start_program()
        self.wait_until(self.responds_to_ping)
        return process

    def test_ping_sent_right_before_sigterm_is_answered(self):
        for delay_s in (0.0, 0.0001, 0.0003, 0.001):
            process = self.start_and_wait_until_ready()
            callers = self.connect_callers()
            for caller in callers:
                caller.sendall(PING)
            time.sleep(delay_s)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(read_until_closed(callers, 5), [(frames.PONG, "closed")] * CALLER_COUNT)
            self.assertEqual(process.wait(KILL_AFTER_S), 0)

    def test_callers_that_wait_in_a_shortage_of_descriptors_at_sigterm_are_answered(self):
        shortage = Path(self.path).with_name("shortage")
        self.environment["SHORTAGE_FILE"] = str(shortage)
        process = self.start_program(sys.executable, "-c", ACCEPT_FAILS)
        self.wait_until(self.responds_to_ping)
        shortage.touch()
        callers = self.connect_callers()
        for caller in callers:
            caller.sendall(PING)
        process.send_signal(signal.SIGTERM)
        time.sleep(0.15)
        shortage.unlink()
        self.assertEqual(read_until_closed(callers, 5), [(frames.PONG, "closed")] * CALLER_COUNT)
        self.assertEqual(process.wait(KILL_AFTER_S), 0)

    def test_repeated_signals_still_end_the_program_with_exit_code_0(self):
        for _ in range(5):
            process = self.start_and_wait_until_ready()
            while process.poll() is None:
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                time.sleep(0.0001)
            self.assertEqual(process.returncode, 0)

    def test_messages_before_an_unreadable_one_are_answered(self):
        self.start_and_wait_until_ready()
        join_frame = frames.encode_frame({"msg": "SOURCE", "az": "a"})
        for data, answers in (
            (PING + b"GET / HTTP/1.1\r\n\r\n", frames.PONG + frames.NACK),
            (PING + join_frame + PING + b"\0" * 9, frames.PONG * 2),
            (join_frame + PING + frames.encode_frame("x")[:4] + b"{{{", frames.PONG),
        ):
            with self.subTest(data=data):
                (caller,) = self.connect_callers(1)
                caller.sendall(data)
                self.assertEqual(read_until_closed([caller], 3)[0][0], answers)


class HttpServerDrain(LiveCase):
    """`web.Server` answers or refuses what it was sent before it closes."""

    def connect_callers(self, server, count):
        """Return `count` connections that are closed after the test."""
        connections = [socket.create_connection(server.address) for _ in range(count)]
        for caller in connections:
            self.addCleanup(caller.close)
        return connections

    def test_connection_above_the_limit_is_answered_with_503(self):
        server, statuses = Server(self.loop, LOOPBACK, lambda request: request.respond(200), max_connections=1), []
        clients = [Client(self.loop, server.listener.address) for _ in range(2)]
        for client in clients:
            client.send_request("GET", "/", [], b"", lambda response: statuses.append(response.status), SECOND)
            self.wait_until(lambda: len(statuses) == clients.index(client) + 1)
        self.assertEqual(statuses, [200, 503])

    def test_pending_partial_and_unread_requests_are_answered_when_the_server_drains(self):
        def handle(request):
            self.loop.after(SECOND // 10, lambda: request.respond(200, [], request.body))

        server, drained = Server(self.loop, LOOPBACK, handle), []
        pending, in_pieces, unread, idle = self.connect_callers(server, 4)
        self.loop.run(self.loop.now() + SECOND // 50)
        pending.sendall(http_request("POST", "/", b"in work") + http_request("POST", "/", b"behind it"))
        head, body = http_request("POST", "/", b"in pieces").split(b"\r\n\r\n")
        in_pieces.sendall(head + b"\r\n\r\n")
        self.loop.run(self.loop.now() + SECOND // 50)
        unread.sendall(http_request("POST", "/", b"unread"))
        server.drain(lambda: drained.append(self.loop.now()))
        in_pieces.sendall(body)
        self.wait_until(lambda: drained)
        answers = read_until_closed([pending, in_pieces, unread, idle], 1)
        self.assertEqual(
            [(data.count(b"HTTP/1.1 200"), close_reason) for data, close_reason in answers],
            [(2, "closed"), (1, "closed"), (1, "closed"), (0, "closed")],
        )
        self.assertTrue(all(text in answers[0][0] for text in (b"in work", b"behind it")))

    def test_request_not_answered_in_time_gets_503_before_the_close(self):
        server, drained = Server(self.loop, LOOPBACK, lambda request: None), []
        (caller,) = self.connect_callers(server, 1)
        caller.sendall(http_request("GET", "/"))
        self.loop.run(self.loop.now() + SECOND // 50)
        server.drain(lambda: drained.append(self.loop.now()))
        self.wait_until(lambda: drained)
        ((data, close_reason),) = read_until_closed([caller], 1)
        self.assertEqual((data[:12], close_reason), (b"HTTP/1.1 503", "closed"))


class HttpRequestsBeforeSigterm(unittest.TestCase):
    """`ospreyrouter manager` gets SIGTERM while callers wait for the table of sites or for a change to be stored."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "deployment.json"
        self.address = free_address()
        self.path.write_text(json.dumps(valid_deployment(self.address[1])))

    def start_and_wait_until_ready(self):
        """Start the program and return its process once it is ready."""
        process = subprocess.Popen(
            [sys.executable, "-m", "ospreyrouter", "manager", str(self.path), "--name", "manager-0"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        for cleanup in (process.stdout.close, process.wait, process.kill):
            self.addCleanup(cleanup)
        self.assertEqual(process.stdout.readline(), b"ready\n")
        return process

    def test_request_sent_right_before_sigterm_is_answered(self):
        for attempt in range(3):
            process = self.start_and_wait_until_ready()
            early_callers = [socket.create_connection(self.address) for _ in range(CALLER_COUNT // 2)]
            time.sleep(0.05)
            process.send_signal(signal.SIGSTOP)  # so that all requests are unread when SIGTERM is handled
            callers = early_callers + [socket.create_connection(self.address) for _ in range(CALLER_COUNT // 2)]
            for number, caller in enumerate(callers):
                self.addCleanup(caller.close)
                change = {
                    "caller": "school",
                    "worker": ["127.0.0.1", number],
                    "on": True,
                    "at": attempt,
                    "key": f"{attempt}.{number}",
                }
                caller.sendall(
                    http_request("POST", "/v3/drains", json.dumps(change).encode())
                    if number % 2
                    else http_request("GET", "/v3/sites")
                )
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGCONT)
            answers = read_until_closed(callers, 5)
            self.assertEqual(
                [(data[:9], close_reason) for data, close_reason in answers], [(b"HTTP/1.1 ", "closed")] * CALLER_COUNT
            )
            self.assertEqual(process.wait(5), 0)


def http_request(method, path, body=b""):
    """Return the bytes of an HTTP request."""
    return f"{method} {path} HTTP/1.1\r\nhost: here\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body
