"""Load reports of workers, as they arrive in reports of collectors and in responses to probes. No I/O."""

from ..naming import Malformed

# Names of values on the wire, and the names that the manager uses.
NAMES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}
MAX_VALUES = {"utilization": 10.0}  # a share of all cores, with measurement noise
MAX_VALUE = 10_000_000.0  # of all others


def load_report(fields):
    """The known values of a report by the names that the manager uses; None gives an empty report.

    Unknown fields are ignored. Raises Malformed if a known one is invalid.
    """
    if fields is None:
        return {}
    if not isinstance(fields, dict):
        raise Malformed("report")
    report = {}
    for wire_name, value in fields.items():
        name = NAMES.get(wire_name)
        if name is None:
            continue
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not 0.0 <= value <= MAX_VALUES.get(name, MAX_VALUE)
        ):
            raise Malformed(f"report.{wire_name}")
        report[name] = float(value)
    return report
