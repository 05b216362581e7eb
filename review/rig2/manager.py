"""A manager as a process of its own, started with the `run` command of the deploy file, and PINGs to it."""

import asyncio
import json
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .settings import free_port

ROOT = Path(__file__).resolve().parents[2]
PING = b'{"msg":"PING"}'
READY_TIMEOUT_S = 30.0  # a manager that takes longer has failed to start


def frame(body):
    """A message at the manager's address: four bytes of length, then the JSON text."""
    return len(body).to_bytes(4, "big") + body


async def ping(address, timeout_s):
    """Whether a PING on a new connection is answered with PONG within the time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(frame(PING))
            size = int.from_bytes(await reader.readexactly(4), "big")
            return json.loads(await reader.readexactly(size)).get("msg") == "PONG"
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return False
    finally:
        if writer is not None:
            writer.close()


class Manager:
    """One manager; `address` is where collectors and other callers connect.

    It has a loopback address of its own, where no connection of another process can have taken the port before it is
    started again.
    """

    def __init__(self, record, settings, discovery_port, relay_port, known, sockets=1024):
        self.record, self.process = record, None
        self.address = ("127.{}.{}.{}".format(*(1 + byte % 254 for byte in os.urandom(3))), free_port())
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.config_path = Path(self.folder.name) / "config.json"
        self.config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "hub": {"address": f"127.0.0.1:{relay_port}"},
            "known": known,
            "settings": settings,
        }
        self.log = open(Path(self.folder.name) / "manager.log", "wb")

    async def start(self):
        """Start the process and wait until it has answered a PING. Raises RuntimeError if it does not."""
        self.config_path.write_text(json.dumps(self.config), encoding="utf-8")
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        scratch = tempfile.mkdtemp(dir=self.folder.name)
        environment = os.environ | {
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": scratch,
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stderr=self.log
        )
        self.record.write(f"manager started, process {self.process.pid}")
        deadline = time.monotonic() + READY_TIMEOUT_S
        answered = False
        while not answered:
            if self.process.poll() is not None or time.monotonic() > deadline:
                raise RuntimeError("the manager did not start")
            await asyncio.sleep(0.05)
            answered = await ping(self.address, 1.0) and self.process.poll() is None
        self.record.write("manager answered its first PING")

    def signal(self, number):
        """Send a signal to the process."""
        self.record.write(f"manager gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        """A planned end: SIGTERM, then SIGKILL 0.7 s later if it still runs; waits for the end."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(0.7)
        except subprocess.TimeoutExpired:
            self.kill()
        self.record.write("manager has ended")

    def processor_seconds(self):
        """Processor time that the process has used so far, in seconds; None where the system does not tell."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
        except OSError:
            return None
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def kill(self):
        """End the process at once, if it still runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def close(self):
        """End the process, and add the last lines of its log to the record."""
        self.kill()
        self.log.close()
        lines = (Path(self.folder.name) / "manager.log").read_text(errors="replace").splitlines()
        for line in lines[-40:]:
            self.record.write(f"manager log: {line[:600]}")
        self.folder.cleanup()
