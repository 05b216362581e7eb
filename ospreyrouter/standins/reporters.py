"""Stand-ins for thousands of senders of load reports, whose reports add up to a known true load.

    truth = TrueLoad(workers, start_us, seconds, seed)
    shares = worker_shares(count, truth, slices, seed)
    reporters = [Reporter(number, truth, slices, seed, now) for number in range(count)]
    ReporterFleet(loop, address, truth, shares, groups, form, interval_us, seed)

Each group of reporters shares a stream. A report is a LoadStatsRequest; each counts the tries at four workers or fewer.
"""

from random import Random

import orjson
import zstandard

from ..web import Client
from ..xds.reports import parse_duration_us

JSON, PROTOBUF, ZSTD = "json", "protobuf", "json+zstd"


class TrueLoad:
    """Tries per second at each worker as a function of time: plateaus, steps and ramps.

    One worker, `silent_worker`, gets none from `silent_from_s` on; another has a burst. `level` is the mean number of
    tries per second, `start_us` the time that corresponds to second 0.
    """

    def __init__(self, workers, start_us, seconds, seed, level=1000.0):
        rng = Random(f"truth/{seed}")
        self.start_us, self.workers = start_us, workers
        self.levels = [level * rng.uniform(0.5, 1.5) for _ in range(workers)]
        self.pieces = []  # by worker: (first second, factor there, factor at the end, last second)
        for _ in range(workers):
            begin, factor, worker_pieces = 0.0, 1.0, []
            while begin < seconds + 60:  # longer than needed, as processes do not end at the same time
                length = rng.uniform(12, 30)
                shape = rng.random()
                new_factor = factor * rng.uniform(0.6, 1.6) if shape < 0.6 else factor
                new_factor = min(2.0, max(0.4, new_factor))
                worker_pieces.append((begin, factor if shape > 0.15 else new_factor, new_factor, begin + length))
                begin, factor = begin + length, new_factor
            self.pieces.append(worker_pieces)
        self.silent_worker, self.silent_from_s = workers // 3, seconds * 0.5
        # (first second, last second, factor)
        self.bursting_worker, self.burst = workers // 2, (seconds * 0.3, seconds * 0.3 + 8, 3.0)

    def tries_between(self, worker, begin_us, end_us):
        """Number of tries at a worker within a span, as a float: the integral of the rate."""
        begin, end, integral = (begin_us - self.start_us) / 1e6, (end_us - self.start_us) / 1e6, 0.0
        if worker == self.silent_worker:
            end = min(end, self.silent_from_s)
        for start, start_factor, end_factor, until in self.pieces[worker]:
            first, last = max(begin, start), min(end, until)
            if first < last:
                slope = (end_factor - start_factor) / (until - start)
                integral += (last - first) * (start_factor + slope * ((first + last) / 2 - start))
        if worker == self.bursting_worker:
            first, last = max(begin, self.burst[0]), min(end, self.burst[1])
            integral += max(0.0, last - first) * (self.burst[2] - 1)
        return integral * self.levels[worker]


class Reporter:
    """Counts the tries of its workers; fractions are carried over, so that its totals match its share of the true load.

    `now` is when it begins to count, in us, `clock_offset_us` is added to the times in its reports.
    """

    __slots__ = ("name", "zone", "workers", "part", "carry", "sequence", "last_us", "rng", "slices", "clock_offset_us")

    def __init__(self, number, truth, slices, seed, now, clock_offset_us=0):
        self.rng = Random(f"{seed}/{number}")
        self.name, self.zone = f"box-{number}", "abc"[number % 3]
        # Workers are chosen by number; all reporters of a worker have equal shares of it.
        self.workers = [(number * 7 + 13 * k + 5 * k * k) % truth.workers for k in range(4)]
        self.workers = sorted(set(self.workers))
        self.carry = [self.rng.random() for _ in self.workers]
        self.slices = [self.rng.randrange(slices) for _ in range(6)]
        self.sequence, self.last_us, self.clock_offset_us = 0, now, clock_offset_us

    def report(self, now, truth, shares):
        """A LoadStatsRequest, as a dictionary, for the time since the last one; `shares` as from worker_shares."""
        self.sequence += 1
        span_us, endpoints, total_tries = max(1, now - self.last_us), [], 0
        for index, worker in enumerate(self.workers):
            exact_tries = truth.tries_between(worker, self.last_us, now) * shares[worker] + self.carry[index]
            tries = int(exact_tries)
            self.carry[index] = exact_tries - tries
            if tries:
                total_tries += tries
                endpoints.append(
                    {
                        "metadata": {"worker": f"worker-{worker}"},
                        "totalIssuedRequests": tries,
                        "totalErrorRequests": 0,
                        "loadMetricStats": [
                            {
                                "metricName": "delay_us",
                                "numRequestsFinishedWithMetric": tries,
                                "totalMetricValue": 20_000.0 * tries,
                            }
                        ],
                    }
                )
        self.last_us = now
        interval = f"{span_us // 1_000_000}.{span_us % 1_000_000:06d}s"
        stats = [
            {
                "clusterName": "workers",
                "loadReportInterval": interval,
                "upstreamLocalityStats": [{"upstreamEndpointStats": endpoints}],
            }
        ]
        arrivals = total_tries // len(self.slices)  # of each slice
        stats += [
            {
                "clusterName": f"slice-{slice_index}",
                "loadReportInterval": interval,
                "upstreamLocalityStats": [
                    {
                        "loadMetricStats": [
                            {"metricName": "look-up", "numRequestsFinishedWithMetric": arrivals, "totalMetricValue": 0}
                        ]
                    }
                ],
            }
            for slice_index in self.slices
            if arrivals
        ]
        return {
            "node": {
                "id": self.name,
                "locality": {"zone": self.zone},
                "metadata": {"life": "1", "sequence": self.sequence, "sent_us": now + self.clock_offset_us},
            },
            "clusterStats": stats,
        }


def encode_reports(reports, form):
    """(headers, body) of a request with some reports; `form` is JSON, PROTOBUF or ZSTD."""
    if form == PROTOBUF:
        from envoy.service.load_stats.v3 import lrs_pb2
        from google.protobuf import json_format

        body = b""
        for report in reports:
            message = json_format.ParseDict(report, lrs_pb2.LoadStatsRequest()).SerializeToString()
            size = len(message)
            prefix = b""  # the length as a varint
            while size > 127:
                prefix += bytes([size & 127 | 128])
                size >>= 7
            body += prefix + bytes([size]) + message
        return [("content-type", "application/x-protobuf")], body
    body = orjson.dumps(reports)
    if form == ZSTD:
        return [("content-type", "application/json"), ("content-encoding", "zstd")], zstandard.compress(body, 1)
    return [("content-type", "application/json")], body


def worker_shares(count, truth, slices, seed):
    """By worker: the share of its tries that each reporter of it counts, if there are `count` reporters."""
    reporter_counts = [0] * truth.workers
    for number in range(count):
        for worker in Reporter(number, truth, slices, seed, 0).workers:
            reporter_counts[worker] += 1
    return [1.0 / max(1, reporter_count) for reporter_count in reporter_counts]


class ReporterFleet:
    """Sends the reports of `groups`, lists of reporters that share a stream, at the interval that answers ask for.

    `interval_us` is used until the first answer. Groups begin at random times, with `in_step` all at the same time.
    `sent` counts reports, `refused` answers 429, `failed` all other failures.
    """

    def __init__(self, loop, address, truth, shares, groups, form, interval_us, seed, in_step=False):
        self.loop, self.address, self.truth, self.shares, self.form = loop, address, truth, shares, form
        self.interval_us, self.clients, self.sent, self.refused, self.failed = interval_us, {}, 0, 0, 0
        self.rng = Random(f"fleet/{seed}")
        for index, group in enumerate(groups):
            first_us = interval_us if in_step else self.rng.randint(1, interval_us)
            loop.after(first_us, lambda index=index, group=group: self._post(index, group))

    def _post(self, index, group):
        self.loop.after(self.interval_us, lambda: self._post(index, group))
        client = self.clients.get(index)
        if client is not None and not client.closed and client.outstanding:
            return  # the last request is unanswered; the next one will include the tries of this interval
        now = self.loop.now()
        headers, body = encode_reports([reporter.report(now, self.truth, self.shares) for reporter in group], self.form)
        if client is None or client.closed:
            client = self.clients[index] = Client(self.loop, self.address, 3_000_000)
        self.sent += len(group)
        client.send_request("POST", "/v3/load_stats", headers, body, self._answered, 20_000_000)

    def _answered(self, response):
        if response.status == 200 or response.status == 429:
            self.refused += response.status == 429
            self.interval_us = parse_duration_us(orjson.loads(response.body)["loadReportingInterval"], "answer")
        else:
            self.failed += 1


class FloodSender:
    """Sends the same `report_count` reports over and over on `streams` streams, each as fast as it is answered."""

    def __init__(self, loop, address, report_count, streams, seed):
        self.loop, self.address, self.streams, self.active, self.sent = loop, address, streams, False, 0
        reports = [
            {
                "node": {
                    "id": f"flood-{k}",
                    "locality": {"zone": "a"},
                    "metadata": {"life": "1", "sequence": 1, "sent_us": 1},
                },
                "clusterStats": [
                    {
                        "clusterName": "workers",
                        "loadReportInterval": "1s",
                        "upstreamLocalityStats": [
                            {
                                "upstreamEndpointStats": [
                                    {
                                        "metadata": {"worker": f"worker-{worker}"},
                                        "totalIssuedRequests": 0,
                                        "totalErrorRequests": 0,
                                    }
                                    for worker in range(10)
                                ]
                            }
                        ],
                    }
                ],
            }
            for k in range(report_count)
        ]
        self.headers, self.body = encode_reports(reports, JSON)

    def control(self, command, active):
        """Start or stop sending; there is only one command."""
        self.active = active
        for _ in range(self.streams if active else 0):
            self._send_next(None)

    def _send_next(self, client):
        if not self.active:
            if client is not None:
                client.close()
            return
        if client is None or client.closed:
            client = Client(self.loop, self.address, 1_000_000)
        self.sent += 1

        def answered(response):
            self.loop.after(1_000 if response.status else 200_000, lambda: self._send_next(client))

        client.send_request("POST", "/v3/load_stats", self.headers, self.body, answered, 30_000_000)
