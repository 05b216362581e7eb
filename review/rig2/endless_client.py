"""A bad client: it connects and sends reports with no joining before them, one after the other, without end.

    python -m review.rig2.endless_client ADDRESS PORT SECONDS

It prints when it begins, and what it got in answer: "NACK", "closed" or "nothing", with the time since it connected.
"""

import json
import socket
import sys
import threading
import time

from .manager import frame
from .settings import WRITE

REPORT = {"msg": "SHARD", "partition": 1, "kind": WRITE, "n": 40, "bad": 1, "window": 1000.0}
MESSAGES = 2000  # in one piece of data that is handed to the system


def run(address, seconds):
    """Send until the connection ends or the time is over."""
    sock, data = socket.create_connection(address), frame(json.dumps(REPORT).encode()) * MESSAGES
    began, answers, sent = time.monotonic(), [], 0

    def read():
        try:
            answers.append(("NACK" if b"NACK" in sock.recv(4096) else "closed", time.monotonic() - began))
        except OSError:
            answers.append(("closed", time.monotonic() - began))

    print("connected", flush=True)
    threading.Thread(target=read, daemon=True).start()
    try:
        while time.monotonic() - began < seconds:
            sent += sock.send(data)
    except OSError:
        answers.append(("closed", time.monotonic() - began))
    what, after_s = min(answers, key=lambda answer: answer[1], default=("nothing", time.monotonic() - began))
    print(f"{what} after {after_s:.3f} s, {sent} bytes sent", flush=True)
    sock.close()


if __name__ == "__main__":
    run((sys.argv[1], int(sys.argv[2])), float(sys.argv[3]))
