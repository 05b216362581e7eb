"""Load reports: LoadStatsRequest (envoy.service.load_stats.v3) and the ORCA header (xds.data.orca.v3).

The results of tries are in one ClusterStats named `workers`, by endpoint. The demand for a slice is in one named
`slice-N`, by class as load metrics: numRequestsFinishedWithMetric counts the transactions that arrived,
totalMetricValue those that were admitted and got no answer. Transactions that a level refused at once are in its
`droppedRequests`, by class as category.
"""

import math

from .documents import InvalidDocument

ORCA_HEADER = "endpoint-load-metrics"
# Names of load metrics in ORCA and in this program.
ORCA_METRICS = {
    "cpu_utilization": "utilization",
    "rps_fractional": "throughput",
    "eps": "errors_per_s",
    "named_metrics.recent_ms": "recent_ms",
    "named_metrics.outstanding": "outstanding",
    "named_metrics.backlog": "backlog",
}
DELAY_METRIC = "delay_us"


def format_orca(report):
    """Returns a load report, {metric: value}, in the native text form of the ORCA header."""
    names = {metric: orca_name for orca_name, metric in ORCA_METRICS.items()}
    return "TEXT " + ",".join(f"{names[name]}={value:.6g}" for name, value in report.items() if name in names)


def parse_orca(text):
    """Returns {metric: value} of an ORCA header; unknown, negative and non-finite metrics are left out."""
    report = {}
    if text and text.startswith("TEXT "):
        for part in text[5:].split(","):
            name, _, value = part.partition("=")
            try:
                number = float(value)
            except ValueError:
                continue
            if name.strip() in ORCA_METRICS and math.isfinite(number) and number >= 0:
                report[ORCA_METRICS[name.strip()]] = number
    return report


def format_duration(us):
    """Returns microseconds as a Duration in the proto3 JSON mapping."""
    return f"{us // 1_000_000}.{us % 1_000_000:06d}s"


def parse_duration_us(text, path):
    """Returns a Duration of up to one day in microseconds. Raises InvalidDocument, which names `path`."""
    try:
        value = float(text[:-1]) if isinstance(text, str) and text.endswith("s") else math.nan
    except ValueError:
        value = math.nan
    if not 0 <= value <= 86_400:
        raise InvalidDocument(f"{path}: {text!r:.40} is not a duration")
    return round(value * 1_000_000)


def load_stats_request(
    proxy, zone, tries_by_worker, demand, span_us, incarnation="1", sequence=0, sent_us=0, pending=None
):
    """Returns the LoadStatsRequest of a proxy for a span of `span_us`.

    `tries_by_worker` is {worker: (tries, failed tries, total delay of the successful ones in us, load report)},
    `demand` is {(slice, class): (arrived, not answered, refused)}, `pending` is {worker: tries in progress}.
    `incarnation` (of the proxy's process), `sequence` and `sent_us` identify the request.
    """
    pending = pending or {}
    endpoints = []
    for worker in sorted(tries_by_worker.keys() | pending.keys()):
        tries, lost, delay_us, report = tries_by_worker.get(worker, (0, 0, 0, {}))
        metrics = [
            {
                "metricName": DELAY_METRIC,
                "numRequestsFinishedWithMetric": str(tries - lost),
                "totalMetricValue": delay_us,
            }
        ]
        metrics += [
            {"metricName": name, "numRequestsFinishedWithMetric": "1", "totalMetricValue": value}
            for name, value in sorted(report.items())
        ]
        endpoints.append(
            {
                "metadata": {"worker": worker},
                "totalIssuedRequests": str(tries),
                **({"totalRequestsInProgress": str(pending[worker])} if worker in pending else {}),
                "totalSuccessfulRequests": str(tries - lost),
                "totalErrorRequests": str(lost),
                "loadMetricStats": metrics,
            }
        )
    slices, dropped = {}, {}
    for (slice_index, class_name), (arrived, lost, refused) in sorted(demand.items()):
        if refused:
            dropped.setdefault(slice_index, []).append({"category": class_name, "droppedCount": str(refused)})
        slices.setdefault(slice_index, []).append(
            {"metricName": class_name, "numRequestsFinishedWithMetric": str(arrived), "totalMetricValue": lost}
        )
    stats = [
        {
            "clusterName": "workers",
            "loadReportInterval": format_duration(span_us),
            "upstreamLocalityStats": [{"locality": {"zone": zone}, "upstreamEndpointStats": endpoints}],
        }
    ]
    stats += [
        {
            "clusterName": f"slice-{slice_index}",
            "loadReportInterval": format_duration(span_us),
            "upstreamLocalityStats": [{"locality": {"zone": zone}, "loadMetricStats": metrics_of_slice}],
            **(
                {
                    "totalDroppedRequests": str(sum(int(entry["droppedCount"]) for entry in dropped[slice_index])),
                    "droppedRequests": dropped[slice_index],
                }
                if slice_index in dropped
                else {}
            ),
        }
        for slice_index, metrics_of_slice in slices.items()
    ]
    metadata = {"life": incarnation, "sequence": sequence, "sent_us": sent_us}
    return {"node": {"id": proxy, "locality": {"zone": zone}, "metadata": metadata}, "clusterStats": stats}
