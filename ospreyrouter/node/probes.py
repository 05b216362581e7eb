"""Probes of workers: an HTTP request on a connection of its own, with limits on time and on the number at once.

    probes = Probes(loop, max_active, counts, with_reports, incarnation)
    probes.probe(worker, on_done)               # on_done(outcome, delay_us, report), called at most once

`incarnation(worker)` is the address and start that the list has for a worker now, see `Watch.incarnation`.

A worker has at most one probe that is queued or active. A probe that fails on this machine says nothing about the
worker; it is sent again a little later. A probe of an earlier incarnation is replaced by the next one, and its result
is discarded.
"""

import orjson

from ..interface import ProbeOutcome
from ..loop import LOCAL_ERRORS
from ..naming import Malformed
from ..web.client import Client
from .reports import load_report

DIAL_TIMEOUT_US = 400_000
ANSWER_TIMEOUT_US = 700_000
MAX_BODY = 16 << 10  # bytes of a response body
UNSENT_RETRY_US = 100_000  # until a probe that failed on this machine is sent again


class Probes:
    """Sends probes; with `with_reports` they ask for the load report of the worker."""

    def __init__(self, loop, max_active, counts, with_reports, incarnation):
        self.loop, self.max_active, self.counts, self.incarnation = loop, max_active, counts, incarnation
        self.path = "/status/load" if with_reports else "/health"
        self.closed = False
        # By worker: the probed incarnation and the connection; the callback of a queued probe.
        self.active, self.queue = {}, {}

    def probe(self, worker, on_done):
        """Probe a worker; ignored if a probe of its present incarnation is queued or active.

        `on_done` gets a ProbeOutcome, the time in microseconds since the probe was sent and the load report, as a
        dictionary.
        """
        if worker in self.queue or worker in self.active and self.active[worker][0] == self.incarnation(worker):
            self.counts["probe still under way"] += 1
            return
        if worker in self.active:
            self.active.pop(worker)[1].close()
        self.queue[worker] = on_done
        self._start_queued()

    def _start_queued(self):
        while self.queue and len(self.active) < self.max_active:
            worker = next(iter(self.queue))
            self._send(worker, self.queue.pop(worker))

    def _send(self, worker, on_done):
        sent_us, incarnation = self.loop.now(), self.incarnation(worker)
        if incarnation[0] is None:
            on_done(ProbeOutcome.UNREACHABLE, 0, {})
            return

        def on_response(response):
            if self.active.get(worker) != (incarnation, client):
                return  # another probe has replaced this one
            del self.active[worker]
            client.close()
            if not response.sent and response.reason in LOCAL_ERRORS:
                # Reporting UNREACHABLE would fade out a healthy worker and move its slices to others.
                self.counts[f"probe not sent: {response.reason}"] += 1
                self.loop.after(UNSENT_RETRY_US, lambda: self.closed or self.probe(worker, on_done))
            elif self.incarnation(worker) == incarnation:
                outcome, report = self._outcome(response)
                self.counts[f"probe {outcome.value}"] += 1
                on_done(outcome, self.loop.now() - sent_us, report)
            else:
                self.counts["probe of an earlier life"] += 1
            self._start_queued()

        client = Client(self.loop, incarnation[0], DIAL_TIMEOUT_US, max_body=MAX_BODY)
        self.active[worker] = incarnation, client
        client.send_request("GET", self.path, [("connection", "close")], b"", on_response, ANSWER_TIMEOUT_US)

    def _outcome(self, response):
        if response.status == 200:
            try:
                return ProbeOutcome.PASSED, load_report(orjson.loads(response.body)) if response.body else {}
            except (orjson.JSONDecodeError, Malformed):
                self.counts["probe report spoilt"] += 1
                return ProbeOutcome.PASSED, {}
        if response.status:
            return ProbeOutcome.ERROR, {}
        if not response.sent:
            return ProbeOutcome.UNREACHABLE, {}
        return (ProbeOutcome.TIMED_OUT if response.reason == "timed out" else ProbeOutcome.RESET), {}

    def close(self):
        """Cancel all probes."""
        self.closed = True
        self.queue.clear()
        while self.active:
            self.active.popitem()[1][1].abort("closed here")
