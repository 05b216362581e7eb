"""Probes of workers over HTTP, at most one at a time per worker; the result of each goes to the core.

    probes = Probes(service)
    probes.probe(worker, host, port)

A probe that could not be sent for a local reason is only counted.
"""

from ..interface import ProbeOutcome
from ..loop import LOCAL_ERRORS
from ..web import Client
from ..xds.reports import ORCA_HEADER, parse_orca


class Probes:
    """The probes of one manager; see the module docstring."""

    def __init__(self, service):
        self.service, self.loop, self.core, self.counts = service, service.loop, service.core, service.counts
        self.clients = {}  # {worker: connection of the active probe}

    def probe(self, worker, host, port):
        """Send a probe, unless one to this worker is active."""
        if worker in self.clients:
            return  # the last probe has not ended: another would only add to the load of the worker
        began_us, client = (
            self.loop.now(),
            Client(self.loop, (host, port), round(self.service.setup.probe_timeout_s * 1e6)),
        )
        self.clients[worker] = client
        self.counts["probes"] += 1

        def on_answer(answer):
            del self.clients[worker]
            client.close()
            if not answer.sent and answer.reason in LOCAL_ERRORS:  # says nothing about the worker
                self.counts["probes not sent"] += 1
                return
            self.core.probe_finished(
                self.loop.now(),
                worker,
                probe_outcome(answer),
                self.loop.now() - began_us,
                parse_orca(answer.headers.get(ORCA_HEADER)),
            )
            self.service.schedule_round()

        client.send_request("GET", "/probe", [], b"", on_answer, round(self.service.setup.probe_timeout_s * 1e6))


def probe_outcome(answer):
    """The `ProbeOutcome` of a probe by its HTTP answer."""
    if answer.status == 200:
        return ProbeOutcome.PASSED
    if answer.status == 503:
        return ProbeOutcome.FULL
    if answer.status:
        return ProbeOutcome.ERROR
    if answer.reason == "timed out":
        return ProbeOutcome.TIMED_OUT
    return ProbeOutcome.RESET if answer.sent else ProbeOutcome.UNREACHABLE
