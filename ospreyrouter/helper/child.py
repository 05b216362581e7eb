"""The child process of `ProcessCalls`: receives pickled calls on a socket and sends back pickled results.

Run as `python -m ospreyrouter.helper.child FD`. Each message is preceded by its length, 4 bytes in network order. The
socket is one end of a pair; only the parent holds the other, so the process ends when the parent does.
"""

import os
import pickle
import signal
import socket
import struct
import sys

from .work import Work


def receive(sock, size):
    """Exactly `size` bytes, or None if the stream ends before."""
    data = b""
    while len(data) < size:
        chunk = sock.recv(min(1 << 20, size - len(data)))
        if not chunk:
            return None
        data += chunk
    return data


def main(descriptor):
    """Serve calls on the socket with this file descriptor until it is closed; then end the process."""
    # Ctrl-C in a terminal also reaches the parent, which then ends this process.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    sock, work = socket.socket(fileno=descriptor), Work()
    while (header := receive(sock, 4)) is not None:
        body = receive(sock, struct.unpack("!I", header)[0])
        if body is None:
            break
        number, operation, arguments = pickle.loads(body)
        try:
            result = (number, getattr(work, operation)(*arguments), None)
        except OSError as error:
            result = (number, None, (error.errno, error.strerror or str(error)))
        body = pickle.dumps(result)
        try:
            sock.sendall(struct.pack("!I", len(body)) + body)
        except OSError:
            break
    os._exit(0)


if __name__ == "__main__":
    main(int(sys.argv[1]))
