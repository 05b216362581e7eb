"""Probes of workers: one connection each, bounded in time and number, answered once.

    probes = Probes(loop, most, counts, reports)
    probes.probe(address, on_done)        # on_done(outcome, delay_us, report)
"""

from collections import deque

import orjson

from ..door import Malformed
from ..interface import Outcome
from ..web.client import Client
from .reports import load_report

DIAL_US = 400_000
ANSWER_US = 700_000
BODY_MOST = 16 << 10


class Probes:
    def __init__(self, loop, most, counts, reports):
        self.loop, self.most, self.counts, self.path = loop, most, counts, "/status/load" if reports else "/health"
        self.open, self.queue = set(), deque()

    def probe(self, address, on_done):
        if len(self.open) >= self.most:
            self.queue.append((address, on_done))
            return
        began = self.loop.now()

        def answered(answer):
            self.open.discard(client)
            client.close()
            outcome, report = self._outcome(answer)
            self.counts[f"probe {outcome.value}"] += 1
            on_done(outcome, self.loop.now() - began, report)
            if self.queue:
                self.probe(*self.queue.popleft())

        client = Client(self.loop, address, DIAL_US, body_most=BODY_MOST)
        self.open.add(client)
        client.ask("GET", self.path, [("connection", "close")], b"", answered, ANSWER_US)

    def _outcome(self, answer):
        if answer.status == 200:
            try:
                return Outcome.PASSED, load_report(orjson.loads(answer.body)) if answer.body else {}
            except (orjson.JSONDecodeError, Malformed):
                self.counts["probe report spoilt"] += 1
                return Outcome.PASSED, {}
        if answer.status:
            return Outcome.ERROR, {}
        if not answer.sent:
            return Outcome.UNREACHABLE, {}
        return (Outcome.TIMED_OUT if answer.reason == "timed out" else Outcome.RESET), {}

    def close(self):
        self.queue.clear()
        for client in list(self.open):
            client.abort("closed here")
