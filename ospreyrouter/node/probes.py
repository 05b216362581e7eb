"""Probes of workers: one connection each, bounded in time and number, answered once.

    probes = Probes(loop, most, counts, reports)
    probes.probe(worker, life, address, on_done)        # on_done(outcome, delay_us, report)

A worker has one probe at most, on its way or waiting its turn. Another of the same life is not begun; one of a later
life (`life` differs) takes the place of the earlier, of which nothing more is heard.
"""

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
        self.open, self.queue = {}, {}  # by worker: its life and connection; life, address and whom to tell

    def probe(self, worker, life, address, on_done):
        held = self.open.get(worker) or self.queue.get(worker)
        if held is not None and held[0] == life:
            self.counts["probe still under way"] += 1
            return
        if worker in self.open:
            self.open.pop(worker)[1].close()
        self.queue[worker] = life, address, on_done  # one of an earlier life leaves its turn to this one
        self._begin()

    def _begin(self):
        while self.queue and len(self.open) < self.most:
            worker = next(iter(self.queue))
            self._ask(worker, *self.queue.pop(worker))

    def _ask(self, worker, life, address, on_done):
        began = self.loop.now()

        def answered(answer):
            if self.open.get(worker) != (life, client):
                return  # another life has come
            del self.open[worker]
            client.close()
            outcome, report = self._outcome(answer)
            self.counts[f"probe {outcome.value}"] += 1
            on_done(outcome, self.loop.now() - began, report)
            self._begin()

        client = Client(self.loop, address, DIAL_US, body_most=BODY_MOST)
        self.open[worker] = life, client
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
        while self.open:
            self.open.popitem()[1][1].abort("closed here")
