"""Sums and load reports: LoadStatsRequest (envoy.service.load_stats.v3) and ORCA's header (xds.data.orca.v3).

What proxies met at workers is one ClusterStats named `workers`, by endpoint; what came for a slice is one named
`slice-N`, by class as load metrics: finished = came, value = admitted without an answer.
"""

import math

from .documents import BadDocument, need, slice_of

ORCA_HEADER = "endpoint-load-metrics"
# ORCA's names for what workers report, and the module's.
ORCA = {"cpu_utilization": "utilization", "rps_fractional": "throughput", "eps": "errors_per_s",
        "named_metrics.recent_ms": "recent_ms", "named_metrics.outstanding": "outstanding",
        "named_metrics.backlog": "backlog"}
DELAY = "delay_us"


def orca_text(report):
    """A load report as the header's native text form; `report` by the module's names."""
    names = {ours: theirs for theirs, ours in ORCA.items()}
    return "TEXT " + ",".join(f"{names[name]}={value:.6g}" for name, value in report.items() if name in names)


def orca_report(text):
    """The report in the header, by the module's names; what is unknown or not finite is left out."""
    report = {}
    if text and text.startswith("TEXT "):
        for part in text[5:].split(","):
            name, _, value = part.partition("=")
            try:
                number = float(value)
            except ValueError:
                continue
            if name.strip() in ORCA and math.isfinite(number) and number >= 0:
                report[ORCA[name.strip()]] = number
    return report


def interval(us):
    return f"{us // 1_000_000}.{us % 1_000_000:06d}s"


def interval_us(text, where):
    try:
        value = float(text[:-1]) if isinstance(text, str) and text.endswith("s") else math.nan
    except ValueError:
        value = math.nan
    if not 0 <= value <= 86_400:
        raise BadDocument(f"{where}: {text!r:.40} is no duration")
    return round(value * 1_000_000)


def sums_request(proxy, zone, met, demand, span_us):
    """`met` by worker: (tries, lost, total delay of the good in us, report); `demand` by (slice, class): (came, lost)."""
    endpoints = []
    for worker, (tries, lost, delay, report) in sorted(met.items()):
        metrics = [{"metricName": DELAY, "numRequestsFinishedWithMetric": str(tries - lost), "totalMetricValue": delay}]
        metrics += [{"metricName": name, "numRequestsFinishedWithMetric": "1", "totalMetricValue": value}
                    for name, value in sorted(report.items())]
        endpoints.append({"metadata": {"worker": worker}, "totalIssuedRequests": str(tries),
                          "totalSuccessfulRequests": str(tries - lost), "totalErrorRequests": str(lost),
                          "loadMetricStats": metrics})
    slices = {}
    for (item, kind), (came, lost) in sorted(demand.items()):
        slices.setdefault(item, []).append({"metricName": kind, "numRequestsFinishedWithMetric": str(came),
                                            "totalMetricValue": lost})
    stats = [{"clusterName": "workers", "loadReportInterval": interval(span_us),
              "upstreamLocalityStats": [{"locality": {"zone": zone}, "upstreamEndpointStats": endpoints}]}]
    stats += [{"clusterName": f"slice-{item}", "loadReportInterval": interval(span_us),
               "upstreamLocalityStats": [{"locality": {"zone": zone}, "loadMetricStats": rows}]}
              for item, rows in slices.items()]
    return {"node": {"id": proxy, "locality": {"zone": zone}}, "clusterStats": stats}


def whole(data, field, where, most=10**12):
    """A count: the JSON mapping writes 64-bit numbers as text, and takes numbers."""
    value = data.get(field, 0)
    if isinstance(value, str) and value.isdigit() and len(value) < 16:
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= most:
        raise BadDocument(f"{where}.{field}: {value!r:.40} is no count")
    return value


def sums_of(data, where="sums"):
    """(zone, met, demand) of a LoadStatsRequest: lists of (worker, tries, lost, delay, span, report) and of
    (slice, class, came, lost, span). Raises BadDocument."""
    node = need(data, "node", dict, where)
    zone, met, demand = need(need(node, "locality", dict, where), "zone", str, where), [], []
    for cluster in need(data, "clusterStats", list, where):
        name = need(cluster, "clusterName", str, where)
        span = interval_us(cluster.get("loadReportInterval", "0s"), f"{where}.loadReportInterval")
        for place in need(cluster, "upstreamLocalityStats", list, where):
            if name == "workers":
                for row in place.get("upstreamEndpointStats", []):
                    worker = need(need(row, "metadata", dict, where), "worker", str, where)
                    tries, lost = whole(row, "totalIssuedRequests", where), whole(row, "totalErrorRequests", where)
                    delay, report = 0.0, {}
                    for metric in row.get("loadMetricStats", []):
                        label, value = need(metric, "metricName", str, where), metric.get("totalMetricValue", 0)
                        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e15:
                            raise BadDocument(f"{where}.{label:.40}: {value!r:.40} is no measure")
                        if label == DELAY:
                            delay = value
                        else:
                            report[label] = float(value)
                    if lost > tries:
                        raise BadDocument(f"{where}.{worker:.40}: more lost than tried")
                    met.append((worker, tries, lost, delay, span, report))
            else:
                item = slice_of(name, f"{where}.clusterName")
                for metric in place.get("loadMetricStats", []):
                    kind = need(metric, "metricName", str, where)
                    came = whole(metric, "numRequestsFinishedWithMetric", where)
                    demand.append((item, kind, came, round(metric.get("totalMetricValue", 0)), span))
    return zone, met, demand
