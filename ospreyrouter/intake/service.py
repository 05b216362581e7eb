"""Accepts load reports within a time budget: bodies that do not fit into a turn of the loop wait in a bounded queue.

    intake = Intake(loop, digest, log, ...)
    intake.post(request)             # POST /v3/load_stats: queued as received, decoded and answered later
    intake.on_reports = callback     # called after reports have been added to the digest

A request is answered when its body has been taken from the queue, with a LoadStatsResponse that says how often to
report. A sender that waits for the answer is slowed down by that alone. Bodies that do not fit into the queue are
answered 429.
"""

from collections import Counter
from random import Random

from ..digest import FairQueue, Pressure, Step
from ..xds.documents import to_json
from ..xds.reports import format_duration
from .bodies import BadBody, decode

TIME_SLICE_US = 4_000  # per turn of the loop
PAUSE_US = 500  # between time slices, in which other sockets and timers are served
PRESSURE_INTERVAL_US = 250_000
LOG_INTERVAL_US = 60_000_000  # at most one log line per sender about malformed bodies in this time
MAX_OFFENCES = 20  # malformed bodies of a sender within LOG_INTERVAL_US after which its connection is closed
MAX_TRACKED_SENDERS = 20_000


class Intake:
    """The intake of one manager; see the module docstring.

    `interval_us` is the usual interval at which senders are asked to report, `queue_bytes` the limit of waiting bodies,
    `time_slice_us` the time for decoding per turn of the loop.
    """

    def __init__(self, loop, digest, log, name, interval_us, queue_bytes, time_slice_us=TIME_SLICE_US):
        self.loop, self.digest, self.log, self.name = loop, digest, log, name
        self.queue, self.pressure, self.time_slice_us = FairQueue(queue_bytes), Pressure(interval_us), time_slice_us
        self.counts, self.offences_by_sender, self.bytes_in = Counter(), {}, Counter()
        self.work_scheduled = self.closed = False
        self.rng = Random(f"intake/{name}")
        self.sender_count = 0
        self.longest_waits_us = {}  # {sender: longest wait of a body since the last update of the pressure}
        self.busy_us, self.pressure_updated_us, self.longest_time_slice_us = 0, loop.now(), 0
        self.on_reports, self.response_body = (lambda: None), b""
        self._build_response()
        self._update_pressure()

    def post(self, request):
        """Queue a request with a body of reports; requests that no longer fit are answered 429."""
        connection = request.connection
        if not isinstance(connection.context, int):
            self.sender_count += 1
            connection.context = self.sender_count  # not id(connection): addresses of objects are reused
        sender = connection.context
        self.bytes_in[sender] += len(request.body)
        self.counts["bodies"] += 1
        self.counts["bytes"] += len(request.body)
        for _, dropped_request in self.queue.put(sender, len(request.body) + 200, request, self.loop.now()):
            self.counts["no room"] += 1
            dropped_request.respond(429, [("content-type", "application/json")], self.response_body)
        self._schedule_work()

    def _schedule_work(self):
        if not self.work_scheduled and not self.closed:
            self.work_scheduled = True
            self.loop.soon(self._work)

    def _work(self):
        """Process queued bodies for one time slice."""
        began_us = self.loop.now()
        deadline_us, report_count = began_us + self.time_slice_us, 0
        while self.loop.now() < deadline_us:
            entry = self.queue.take()
            if entry is None:
                break
            sender, request, queued_us = entry
            self.longest_waits_us[sender] = max(self.longest_waits_us.get(sender, 0), began_us - queued_us)
            report_count += self._take_request(request)
        spent_us = self.loop.now() - began_us
        self.busy_us += spent_us
        self.longest_time_slice_us = max(self.longest_time_slice_us, spent_us)
        if report_count:
            self.on_reports()
        self.work_scheduled = self.queue.item_count > 0 and not self.closed
        if self.work_scheduled:
            self.loop.after(PAUSE_US, self._work)

    def _take_request(self, request):
        """Decode a body, add its reports to the digest and answer; returns the number of reports."""
        request_headers, sample = request.headers, self.pressure.sample
        if sample < 1.0 and self.rng.random() >= sample:
            # Dropped before decoding, which is the expensive part. The reports that are kept get a higher weight.
            self.counts["bodies sampled out"] += 1
            request.respond(200, [("content-type", "application/json")], self.response_body)
            return 1
        try:
            reports = decode(
                request.body, request_headers.get("content-type", ""), request_headers.get("content-encoding", "")
            )
        except BadBody as error:
            self._record_offence(request, error)
            return 0
        now = self.loop.now()
        for report in reports:
            report.weight = 1.0 / sample
            self.digest.ingest(now, report)
        self.counts["reports"] += len(reports)
        request.respond(200, [("content-type", "application/json")], self.response_body)
        return len(reports)

    def _record_offence(self, request, error):
        """Count a malformed body by reason and sender, answer 400, log it once a minute, close repeated offenders."""
        self.counts[error.reason] += 1
        now, sender = self.loop.now(), request.connection.context
        offences = self.offences_by_sender.get(sender)
        if offences is None or now - offences[0] > LOG_INTERVAL_US:
            if len(self.offences_by_sender) >= MAX_TRACKED_SENDERS:
                self.offences_by_sender.pop(next(iter(self.offences_by_sender)))
            offences = self.offences_by_sender[sender] = [now, 0]
            self.log.warning(
                "reports_refused",
                manager=self.name,
                reason=error.reason,
                detail=str(error)[:200],
                sender=str(getattr(request.connection.stream, "peer", "")),
            )
        offences[1] += 1
        request.respond(400, [("content-type", "text/plain")], str(error)[:200].encode())
        if offences[1] >= MAX_OFFENCES or error.reason == "bomb":
            self.counts["closed for offences"] += 1
            request.connection.close()

    def _update_pressure(self):
        """Update the pressure from waits, time and memory, and apply the step that it sets."""
        if self.closed:
            return
        self.loop.after(PRESSURE_INTERVAL_US, self._update_pressure)
        now, longest_waits_us = self.loop.now(), self.longest_waits_us
        for sender, queued_us in self.queue.waiting_since():
            longest_waits_us[sender] = max(longest_waits_us.get(sender, 0), now - queued_us)
        # The median over senders: one that floods the intake has a long queue only for itself.
        median_wait_us = sorted(longest_waits_us.values())[len(longest_waits_us) // 2] if longest_waits_us else 0
        self.longest_waits_us = {}
        span_us = max(1, now - self.pressure_updated_us)
        busy_share, self.busy_us, self.pressure_updated_us = self.busy_us / span_us, 0, now
        # When the intake is far behind, the newest reports say most; the older ones still count in the totals.
        self.queue.newest_first = median_wait_us > 2 * PRESSURE_INTERVAL_US
        step_before = self.pressure.step
        if self.pressure.update(now, median_wait_us, busy_share, self.queue.bytes / self.queue.max_bytes):
            self.digest.keep_details = self.pressure.step < Step.MERGE
            self._build_response()
            self.log.info(
                "intake_pressure",
                manager=self.name,
                step=self.pressure.step.name.lower(),
                sample=self.pressure.sample,
                interval_us=self.pressure.interval_us,
                delay_us=median_wait_us,
                waiting=self.queue.bytes,
                harder=self.pressure.step > step_before,
            )
        if self.pressure.step is Step.CLOSE:
            self._close_offenders()
        self.bytes_in = Counter({sender: size // 2 for sender, size in self.bytes_in.items() if size > 1})

    def _close_offenders(self):
        """Close the connections of senders that send far more than the mean."""
        newest_requests = {sender: queued[-1][1] for sender, queued in self.queue.senders.items()}
        for sender in self.pressure.offenders(self.bytes_in):
            self.counts["closed for load"] += 1
            request = newest_requests.get(sender)
            self.queue.discard(sender)
            self.bytes_in.pop(sender, None)
            if request is not None:
                self.log.warning("sender_closed", manager=self.name, reason="far more than its share under pressure")
                request.respond(
                    429, [("content-type", "application/json"), ("connection", "close")], self.response_body
                )
                request.connection.close()

    def _build_response(self):
        """Render the LoadStatsResponse with the present interval."""
        self.response_body = to_json(
            {
                "sendAllClusters": True,
                "loadReportingInterval": format_duration(self.pressure.interval_us),
                "reportEndpointGranularity": True,
            }
        )

    def figures(self):
        """Counters for the last log line and for measurements."""
        return {
            **self.counts,
            **{f"dropped: {name}": count for name, count in self.digest.dropped.items()},
            "reporters": len(self.digest.reporters.states),
            "reporters forgotten": self.digest.reporters.evicted,
            "longest slice us": self.longest_time_slice_us,
            "pressure changes": self.pressure.change_count,
        }

    def close(self):
        """Stop, and answer all queued requests 503."""
        self.closed = True
        while (entry := self.queue.take()) is not None:
            _, request, _ = entry
            request.respond(503, [("retry-after", "1")])
