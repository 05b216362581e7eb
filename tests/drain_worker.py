"""A server as a process, `python -m tests.drain_worker HOST PORT`; from SIGUSR1 on it drains and answers 503.

It answers GET /health and GET /status/load and is stopped, killed and started anew by signals alone.
"""

import signal
import sys

from ospreyrouter.loop import Loop

REPORT = b'{"inflight":2,"queue":0,"util":0.4}'


class DrainWorker:
    def __init__(self, loop, address):
        self.status = "200 OK"
        loop.listen(address, self._accepted)
        loop.on_signal(signal.SIGUSR1, self._drain)
        loop.on_signal(signal.SIGTERM, loop.stop)

    def _drain(self):
        self.status = "503 Service Unavailable"

    def _accepted(self, stream):
        asked = [b""]

        def data(more):
            asked[0] += more
            while b"\r\n\r\n" in asked[0]:
                head, _, asked[0] = asked[0].partition(b"\r\n\r\n")
                self._answer(stream, head.split(b" ")[1])

        stream.start(data, None)

    def _answer(self, stream, path):
        status = self.status if path in (b"/health", b"/status/load") else "404 Not Found"
        body = REPORT if path == b"/status/load" else b""
        stream.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


def main(host, port):
    loop = Loop()
    DrainWorker(loop, (host, int(port)))
    loop.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
