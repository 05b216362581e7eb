"""Stand-in workers: they answer probes over HTTP, and take transactions from the stand-in proxies.

A worker notes each write that it takes and holds. `SoleOwnerCheck` compares these notes with the rule on slices that
have a single owner.
"""

import asyncio
import json

PROBE_WORK_S = 0.005
LOAD_REPORT = {"util": 0.4, "qps": 20.0}


class Worker:
    """One worker; `dial` is its address. `running` is False after its process has ended."""

    def __init__(self, name, record):
        self.name, self.record, self.running, self.in_hand = name, record, True, 0
        self.server, self.dial = None, ""

    async def start(self):
        """Listen for probes on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.dial = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        try:
            path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
            await asyncio.sleep(PROBE_WORK_S)
            body = json.dumps(LOAD_REPORT).encode() if path == b"/status/load" else b""
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n"
                + f"content-length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def take(self, work_s):
        """Work on one transaction for that time."""
        self.in_hand += 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self.in_hand -= 1

    def stop(self):
        """The process ends."""
        self.running = False
        self.server.close()


class ColdCheck:
    """The rule on cold workers at one worker: a budget of work for each span of `FallS`.

    The worker has `capacity` core seconds a second when it is warm and rises to that evenly from its start on. It falls
    over when more work was sent to it within a span than `FallMultiple` times its present capacity times the span. On
    sockets the span is 0.3 s longer, and what is sent before `limits_begin_s` does not count.
    """

    SLACK = 1.1  # for chance
    SOCKETS_S = 0.3

    def __init__(self, rules, capacity, started_s):
        self.rules, self.capacity, self.started_s, self.sent, self.fallen = rules, capacity, started_s, [], False
        self.limits_begin_s = 0.0

    def work_sent(self, now, work_s):
        """Work is sent to the worker; returns a text if it falls over by that."""
        age_s, span_s = now - self.started_s, self.rules["FallS"] + self.SOCKETS_S
        if now < self.limits_begin_s:
            return None
        self.sent = [(at, work) for at, work in self.sent if at > now - span_s] + [(now, work_s)]
        if self.fallen or age_s >= self.rules["ColdS"]:
            return None
        part = self.rules["ColdFrom"] + (1.0 - self.rules["ColdFrom"]) * age_s / self.rules["ColdS"]
        budget = self.rules["FallMultiple"] * part * self.capacity * span_s
        total = sum(work for _, work in self.sent)
        if total <= budget * self.SLACK:
            return None
        self.fallen = True
        text = f"{total:.2f} core seconds within {span_s:.1f} s, {age_s:.2f} s after its start"
        return f"{text}, where {budget:.2f} are allowed"


class SoleOwnerCheck:
    """Watches the writes of each slice at all workers; `violations` holds a text for each break of the rule."""

    def __init__(self, record):
        self.record, self.violations = record, []
        self.held, self.owners = {}, {}  # by slice: writes in hand by worker; workers in the order they took a write

    def write_taken(self, slice_index, worker, proxy):
        """A write of a slice has reached a worker."""
        held, owners = self.held.setdefault(slice_index, {}), self.owners.setdefault(slice_index, [])
        others = sorted(other for other, count in held.items() if count and other != worker)
        if others:
            self._violated(f"slice {slice_index}: {worker} got a write of proxy {proxy} while {others} held one")
        if worker in owners[:-1] and owners[-1] != worker:
            self._violated(
                f"slice {slice_index}: former owner {worker} got a write of proxy {proxy} after {owners[-1]} took one"
            )
        if not owners or owners[-1] != worker:
            owners.append(worker)
            self.record.write(f"slice {slice_index}: first write at {worker}, by proxy {proxy}")
        held[worker] = held.get(worker, 0) + 1

    def write_done(self, slice_index, worker):
        """The worker has finished a write."""
        self.held[slice_index][worker] -= 1

    def _violated(self, text):
        self.violations.append(text)
        self.record.write(f"RULE BROKEN {text}")
