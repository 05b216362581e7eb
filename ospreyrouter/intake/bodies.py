"""Decodes a body of load reports to `Report`s: JSON or protobuf, plain, gzip or zstandard. No I/O.

JSON bodies are one LoadStatsRequest or an array of them. Protobuf bodies are LoadStatsRequests one after the other,
each preceded by its length as a varint. What LoadStatsRequest has no field for is in the metadata of the node:
`sequence`, `sent_us` and `life`, the incarnation of the reporter. The sizes of bodies and reports are limited.
"""

import math
from functools import lru_cache

import orjson

from ..digest.reporters import Report
from ..web.coding import BadBody, decode_body
from ..xds.documents import InvalidDocument, parse_slice_name
from ..xds.reports import DELAY_METRIC, parse_duration_us

MAX_REPORTS = 20_000  # in one body
MAX_ROWS = 100_000  # in one report, of all kinds together
# Load metrics with this prefix count delays by histogram bucket; the number after it is the value of the bucket.
DELAY_BUCKET_PREFIX = "delay_us."


def decode(body, content_type, encoding=""):
    """Return the reports of a body. Raises BadBody if any part of it is malformed or too large."""
    data = decode_body(body, encoding.strip().lower())
    media_type = content_type.partition(";")[0].strip().lower()
    try:
        if media_type in ("application/json", ""):
            return decode_json(data)
        if media_type in ("application/x-protobuf", "application/protobuf"):
            return decode_protobuf(data)
    except InvalidDocument as error:
        raise BadBody("malformed", str(error)) from None
    raise BadBody("unknown content type", f"{media_type:.40}")


def parse_count(value, field):
    """Return a count of the JSON mapping, in which 64-bit numbers may be strings. Raises BadBody."""
    if type(value) is int and 0 <= value < 1 << 53:
        return value
    if type(value) is str and value.isdigit() and len(value) < 16:
        return int(value)
    raise BadBody("malformed", f"{field}: {value!r:.40} is not a count")


def parse_measure(value, field):
    """Return a finite number that is not negative. Raises BadBody."""
    if type(value) in (int, float) and 0 <= value < math.inf:
        return value
    raise BadBody("malformed", f"{field}: {value!r:.40} is not a finite number from 0 up")


def decode_json(data):
    """Return the reports of a JSON body. Raises BadBody."""
    try:
        requests = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise BadBody("malformed", str(error)) from None
    requests = requests if isinstance(requests, list) else [requests]
    if len(requests) > MAX_REPORTS:
        raise BadBody("too many reports")
    try:
        return [report_from_json(request) for request in requests]
    except (KeyError, TypeError, AttributeError, IndexError) as error:
        raise BadBody("malformed", f"{error} is missing or has the wrong type") from None


cached_slice_number = lru_cache(4096)(parse_slice_name)  # invalid names raise, so they are not cached


def report_from_json(request):
    """Convert a LoadStatsRequest; a missing or mistyped field raises KeyError, TypeError or the like."""
    node = request["node"]
    node_metadata, zone = node["metadata"], node["locality"]["zone"]
    tries_rows, demand_rows, pending_rows, refused_rows, span_us = [], [], [], [], None
    for cluster in request["clusterStats"]:
        name = cluster["clusterName"]
        if span_us is None:
            span_us = parse_duration_us(cluster["loadReportInterval"], "loadReportInterval")
        for locality_stats in cluster["upstreamLocalityStats"]:
            if name == "workers":
                for endpoint in locality_stats.get("upstreamEndpointStats", ()):
                    delay_sum_us, load_report, buckets = 0, {}, None
                    for metric in endpoint.get("loadMetricStats", ()):
                        label = metric["metricName"]
                        value = parse_measure(metric.get("totalMetricValue", 0), label)
                        if label == DELAY_METRIC:
                            delay_sum_us = value
                        elif label.startswith(DELAY_BUCKET_PREFIX):
                            buckets = buckets or []
                            buckets.append(
                                (
                                    float(label[len(DELAY_BUCKET_PREFIX) :]),
                                    parse_count(metric["numRequestsFinishedWithMetric"], label),
                                )
                            )
                        else:
                            load_report[label] = value
                    if "totalRequestsInProgress" in endpoint:
                        pending_rows.append(
                            (
                                endpoint["metadata"]["worker"],
                                parse_count(endpoint["totalRequestsInProgress"], "totalRequestsInProgress"),
                            )
                        )
                    tries_rows.append(
                        (
                            endpoint["metadata"]["worker"],
                            parse_count(endpoint["totalIssuedRequests"], "totalIssuedRequests"),
                            parse_count(endpoint.get("totalErrorRequests", 0), "totalErrorRequests"),
                            delay_sum_us,
                            load_report,
                            buckets,
                        )
                    )
            else:
                slice_index = cached_slice_number(name)
                for metric in locality_stats.get("loadMetricStats", ()):
                    demanded, lost = metric["numRequestsFinishedWithMetric"], metric.get("totalMetricValue", 0)
                    # Valid values are accepted without a call, as there are some hundred thousand per second.
                    if type(demanded) is not int or not 0 <= demanded < 1 << 53:
                        demanded = parse_count(demanded, "came")
                    if lost != 0 or type(lost) is bool:
                        lost = parse_measure(lost, "lost")
                    demand_rows.append((slice_index, metric["metricName"], demanded, lost))
        if cluster.get("droppedRequests"):
            slice_index = cached_slice_number(name)
            refused_rows += [
                (slice_index, dropped["category"], parse_count(dropped["droppedCount"], "droppedCount"))
                for dropped in cluster["droppedRequests"]
            ]
    return checked_report(node["id"], zone, node_metadata, span_us, tries_rows, demand_rows, pending_rows, refused_rows)


def checked_report(reporter, zone, node_metadata, span_us, tries_rows, demand_rows, pending_rows, refused_rows):
    """Return a Report of decoded fields. Raises BadBody if they are inconsistent or too many."""
    if len(tries_rows) + len(demand_rows) + len(refused_rows) > MAX_ROWS:
        raise BadBody("too many rows", reporter)
    if not (type(reporter) is str and 0 < len(reporter) < 200 and type(zone) is str):
        raise BadBody("malformed", "node.id")
    if any(type(class_name) is not str for _, class_name, _ in refused_rows) or any(
        type(class_name) is not str for _, class_name, _, _ in demand_rows
    ):
        raise BadBody("malformed", "a class is not a string")
    for tries_row in tries_rows:
        if type(tries_row[0]) is not str or tries_row[2] > tries_row[1]:
            raise BadBody(
                "malformed", f"worker {tries_row[0]!r:.60}: name is not a string, or more tries lost than made"
            )
        for value, _ in tries_row[5] or ():
            if not 0 <= value < math.inf:
                raise BadBody("malformed", "a delay bucket is not a finite number from 0 up")
    incarnation, sequence, sent_us = node_metadata["life"], node_metadata["sequence"], node_metadata["sent_us"]
    if type(incarnation) is not str or not (0 <= sequence < 1 << 53 and 0 <= sent_us < 1 << 53):
        raise BadBody("malformed", "node.metadata: life, sequence or sent_us")
    return Report(
        reporter,
        zone,
        incarnation,
        int(sequence),
        int(sent_us),
        span_us if span_us is not None else 0,
        tries_rows,
        demand_rows,
        pending_rows=pending_rows,
        refused_rows=refused_rows,
    )


def read_varint(data, offset):
    """Return (value, offset after it) of a varint of up to 5 bytes. Raises BadBody."""
    value = shift = 0
    while offset < len(data) and shift < 35:
        byte = data[offset]
        value |= (byte & 127) << shift
        offset, shift = offset + 1, shift + 7
        if byte < 128:
            return value, offset
    raise BadBody("malformed", "the length before a report is truncated or longer than 5 bytes")


def decode_protobuf(data):
    """Return the reports of a protobuf body. Raises BadBody."""
    from envoy.service.load_stats.v3 import lrs_pb2  # loads about a hundred modules, so only if a sender needs it
    from google.protobuf.message import DecodeError

    reports, offset, view = [], 0, memoryview(data)
    while offset < len(data):
        size, offset = read_varint(data, offset)
        if offset + size > len(data):
            raise BadBody("malformed", "a report is truncated")
        if len(reports) >= MAX_REPORTS:
            raise BadBody("too many reports")
        try:
            message = lrs_pb2.LoadStatsRequest.FromString(bytes(view[offset : offset + size]))
        except DecodeError as error:
            raise BadBody("malformed", str(error)) from None
        reports.append(report_from_protobuf(message))
        offset += size
    return reports


def report_from_protobuf(message):
    """Convert a parsed LoadStatsRequest. Raises BadBody."""
    node = message.node
    node_metadata = {
        name: getattr(value, value.WhichOneof("kind"))
        for name, value in node.metadata.fields.items()
        if value.WhichOneof("kind")
    }
    tries_rows, demand_rows, pending_rows, refused_rows, span_us = [], [], [], [], None
    for cluster in message.cluster_stats:
        name = cluster.cluster_name
        if span_us is None:
            span_us = cluster.load_report_interval.seconds * 1_000_000 + cluster.load_report_interval.nanos // 1000
        for locality_stats in cluster.upstream_locality_stats:
            if name == "workers":
                for endpoint in locality_stats.upstream_endpoint_stats:
                    delay_sum_us, load_report, buckets = 0.0, {}, None
                    for metric in endpoint.load_metric_stats:
                        label, value = metric.metric_name, metric.total_metric_value
                        if not 0 <= value < math.inf:
                            raise BadBody("malformed", f"{label:.40}: is not a finite number from 0 up")
                        if label == DELAY_METRIC:
                            delay_sum_us = value
                        elif label.startswith(DELAY_BUCKET_PREFIX):
                            buckets = buckets or []
                            try:
                                buckets.append(
                                    (
                                        float(label[len(DELAY_BUCKET_PREFIX) :]),
                                        metric.num_requests_finished_with_metric,
                                    )
                                )
                            except ValueError:
                                raise BadBody("malformed", f"{label:.40}: bucket is not a number") from None
                        else:
                            load_report[label] = value
                    if endpoint.total_requests_in_progress:
                        pending_rows.append(
                            (endpoint.metadata.fields["worker"].string_value, endpoint.total_requests_in_progress)
                        )
                    tries_rows.append(
                        (
                            endpoint.metadata.fields["worker"].string_value,
                            endpoint.total_issued_requests,
                            endpoint.total_error_requests,
                            delay_sum_us,
                            load_report,
                            buckets,
                        )
                    )
            else:
                slice_index = parse_slice_name(name)
                for metric in locality_stats.load_metric_stats:
                    value = metric.total_metric_value
                    if not 0 <= value < math.inf:
                        raise BadBody("malformed", "lost: is not a finite number from 0 up")
                    demand_rows.append(
                        (slice_index, metric.metric_name, metric.num_requests_finished_with_metric, value)
                    )
        if cluster.dropped_requests:
            slice_index = parse_slice_name(name)
            refused_rows += [
                (slice_index, dropped.category, dropped.dropped_count) for dropped in cluster.dropped_requests
            ]
    try:
        return checked_report(
            node.id, node.locality.zone, node_metadata, span_us, tries_rows, demand_rows, pending_rows, refused_rows
        )
    except (KeyError, TypeError) as error:
        raise BadBody("malformed", f"node.metadata: {error}") from None
