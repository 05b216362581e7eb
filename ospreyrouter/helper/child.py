"""The helper process: frames of pickled calls on a socket, frames of results back. Ends with its parent.

Run as `python -m ospreyrouter.helper.child FD`. The socket is a pair whose other end only the parent holds.
"""

import os
import pickle
import signal
import socket
import struct
import sys

from .work import Work


def receive(sock, size):
    data = b""
    while len(data) < size:
        part = sock.recv(min(1 << 20, size - len(data)))
        if not part:
            return None
        data += part
    return data


def main(descriptor):
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal's stop reaches the parent, which ends this
    sock, work = socket.socket(fileno=descriptor), Work()
    while (head := receive(sock, 4)) is not None:
        body = receive(sock, struct.unpack("!I", head)[0])
        if body is None:
            break
        number, name, values = pickle.loads(body)
        try:
            answer = (number, getattr(work, name)(*values), None)
        except OSError as problem:
            answer = (number, None, (problem.errno, problem.strerror or str(problem)))
        body = pickle.dumps(answer)
        try:
            sock.sendall(struct.pack("!I", len(body)) + body)
        except OSError:
            break
    os._exit(0)


if __name__ == "__main__":
    main(int(sys.argv[1]))
