"""Tables, levels and pushes as xDS documents in the proto3 JSON mapping.

The types are of envoy.config.endpoint.v3, envoy.config.route.v3, envoy.service.discovery.v3 and
envoy.service.health.v3. A table is a ClusterLoadAssignment named `slice-N`. What that type has no field for is in the
metadata of its first locality under the key `ospreyrouter`: manager, version with fencing number, parent, digest, and
each line's exact weight.
"""

import math
from dataclasses import dataclass

import orjson

TYPE_URL_PREFIX = "type.googleapis.com/"
CLUSTER_LOAD_ASSIGNMENT = TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTE_CONFIGURATION = TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration"
ENDPOINT_HEALTH_RESPONSE = TYPE_URL_PREFIX + "envoy.service.health.v3.EndpointHealthResponse"
METADATA_KEY = "ospreyrouter"
WEIGHT_SCALE = 10_000  # the integer weight of a share of 1
MAX_LINES = 10_000  # of one table; managers publish no longer ones
RETRY_POLICIES = {
    "none": None,
    "proven": ("connect-failure,refused-stream", 1),
    "once": ("5xx,reset,connect-failure,refused-stream", 1),
    "twice": ("5xx,reset,connect-failure,refused-stream", 2),
}
ALL_TABLES = "*"  # resource name for every table of one manager


class InvalidDocument(Exception):
    """A document that is malformed or of another type; the text names the field and the reason."""


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a table: a worker, its address and zone, and its weight relative to the other lines."""

    worker: str
    host: str
    port: int
    zone: str
    weight: float


@dataclass(frozen=True, slots=True)
class Table:
    """One version of a slice's table.

    Versions are ordered as (fencing number of the writer, count). `digest` is that of the canonical form, which
    includes the parent's digest (see `versions/identity.py`).
    """

    slice: int
    manager: str
    version: tuple
    lines: tuple
    parent: str = ""
    digest: str = ""


@dataclass(frozen=True, slots=True)
class Delta:
    """The change from the version with digest `base` to its child version with digest `target`."""

    slice: int
    manager: str
    version: tuple
    base: str
    target: str
    changed: tuple
    removed: tuple

    @property
    def cost(self):
        """Number of changed and removed lines."""
        return len(self.changed) + len(self.removed)


def require_field(data, field, expected_type, path):
    """Returns the value of `field` in an object, finite and of the expected type. Raises InvalidDocument.

    `path` names the object in the error. A bool does not count as a number.
    """
    value = data.get(field) if isinstance(data, dict) else None
    if not isinstance(value, expected_type) or isinstance(value, bool) and expected_type is not bool:
        raise InvalidDocument(f"{path}.{field}: {'is missing' if value is None else 'has the wrong type'}")
    if isinstance(value, float) and not math.isfinite(value):
        raise InvalidDocument(f"{path}.{field}: is not finite")
    return value


def parse_json(body, name):
    """Returns the value of JSON bytes, named `name` in errors. Raises InvalidDocument, also for NaN and infinities."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidDocument(f"{name}: {error}") from None


def to_json(value):
    """Returns a value as JSON bytes."""
    return orjson.dumps(value)


def version_text(version):
    """Returns a version (fencing number, count) as text."""
    return f"{version[0]}.{version[1]}"


def parse_version(text, path="version"):
    """Returns the version (fencing number, count) in a text. Raises InvalidDocument."""
    fence, dot, count = text.partition(".") if isinstance(text, str) else ("", "", "")
    if not (dot and fence.isdigit() and count.isdigit() and len(text) < 40):
        raise InvalidDocument(f"{path}: {text!r:.60} is not a version")
    return (int(fence), int(count))


def version_claim(table):
    """Returns version and digest prefix of a table, by which a proxy reports which table it holds."""
    return f"{version_text(table.version)}+{table.digest[:16]}"


def parse_slice_name(name, path="cluster_name"):
    """Returns the index in a name `slice-N`. Raises InvalidDocument."""
    prefix, _, number = name.rpartition("-")
    if prefix != "slice" or not number.isdigit() or len(number) > 6:
        raise InvalidDocument(f"{path}: {name!r:.60} is not the name of a slice")
    return int(number)


def socket_address(host, port):
    """Returns an Address of Envoy with a socket address."""
    return {"socketAddress": {"address": host, "portValue": port}}


def parse_address(data, path):
    """Returns (host, port) of an endpoint. Raises InvalidDocument."""
    address = require_field(require_field(data, "address", dict, path), "socketAddress", dict, f"{path}.address")
    port = require_field(address, "portValue", int, path)
    if not 0 < port < 65536:
        raise InvalidDocument(f"{path}.portValue: {port} is not a TCP port")
    return require_field(address, "address", str, path), port


def table_resource(table, withheld=(), levels=None):
    """Returns the ClusterLoadAssignment of a table: lines of withheld workers are DRAINING, levels drop overloads."""
    zones = {}
    for line in table.lines:
        zones.setdefault(line.zone, []).append(line)
    endpoints = []
    for zone, lines in sorted(zones.items()) or [("", [])]:
        endpoints.append(
            {
                "locality": {"zone": zone},
                "lbEndpoints": [
                    {
                        "endpoint": {"address": socket_address(line.host, line.port), "hostname": line.worker},
                        "healthStatus": "DRAINING" if line.worker in withheld else "HEALTHY",
                        "loadBalancingWeight": max(1, round(line.weight * WEIGHT_SCALE)),
                    }
                    for line in lines
                ],
            }
        )
    endpoints[0]["metadata"] = {
        "filterMetadata": {
            METADATA_KEY: {
                "manager": table.manager,
                "version": version_text(table.version),
                "parent": table.parent,
                "digest": table.digest,
                "weights": {line.worker: line.weight for line in table.lines},
            }
        }
    }
    resource = {"@type": CLUSTER_LOAD_ASSIGNMENT, "clusterName": f"slice-{table.slice}", "endpoints": endpoints}
    if levels:
        resource["policy"] = {"dropOverloads": drop_overloads(levels)}
    return resource


class RenderedTables:
    """Caches the JSON of tables, as most tables of a file or an answer did not change since the last time."""

    def __init__(self):
        self.cache = {}

    def table(self, table, withheld=frozenset(), levels=None):
        """Returns a table's ClusterLoadAssignment as a JSON fragment."""
        draining = frozenset(line.worker for line in table.lines if line.worker in withheld)
        key = tuple(sorted(levels.items())) if levels else ()
        cached = self.cache.get(table.slice)
        if cached is None or cached[0] is not table or cached[1] != draining or cached[2] != key:
            cached = self.cache[table.slice] = (
                table,
                draining,
                key,
                orjson.Fragment(to_json(table_resource(table, draining, levels))),
            )
        return cached[3]


def drop_overloads(levels):
    """Returns levels by class as drop overloads: the part that is dropped is the part that is not admitted."""
    return [
        {
            "category": name,
            "dropPercentage": {"numerator": round((1.0 - min(1.0, level)) * 1_000_000), "denominator": "MILLION"},
        }
        for name, (level, _) in sorted(levels.items())
    ]


def parse_levels(resource, path):
    """Returns {class: level} of a ClusterLoadAssignment's drop overloads. Raises InvalidDocument."""
    levels = {}
    for overload in (resource.get("policy") or {}).get("dropOverloads", []):
        percentage = require_field(overload, "dropPercentage", dict, path)
        if percentage.get("denominator") != "MILLION":
            raise InvalidDocument(f"{path}.dropPercentage.denominator: is not MILLION")
        numerator = percentage.get("numerator", 0)
        if not isinstance(numerator, int) or not 0 <= numerator <= 1_000_000:
            raise InvalidDocument(f"{path}.dropPercentage.numerator: {numerator!r} is not between 0 and 1000000")
        levels[require_field(overload, "category", str, path)] = 1.0 - numerator / 1_000_000
    return levels


def parse_table(resource, path="table"):
    """Returns the Table or Delta in a ClusterLoadAssignment, and its withheld workers. Raises InvalidDocument."""
    if not isinstance(resource, dict) or resource.get("@type") != CLUSTER_LOAD_ASSIGNMENT:
        raise InvalidDocument(f"{path}: is not a ClusterLoadAssignment")
    slice_index = parse_slice_name(require_field(resource, "clusterName", str, path), f"{path}.clusterName")
    path = f"{path} slice-{slice_index}"
    localities = require_field(resource, "endpoints", list, path)
    if not localities:
        raise InvalidDocument(f"{path}.endpoints: is empty, so the version is missing")
    metadata = require_field(
        require_field(require_field(localities[0], "metadata", dict, path), "filterMetadata", dict, path),
        METADATA_KEY,
        dict,
        path,
    )
    weights, lines, withheld = require_field(metadata, "weights", dict, path), [], set()
    for locality in localities:
        zone = require_field(locality, "locality", dict, path).get("zone", "")
        for endpoint in locality.get("lbEndpoints", []):
            endpoint_data = require_field(endpoint, "endpoint", dict, path)
            name = require_field(endpoint_data, "hostname", str, path)
            host, port = parse_address(endpoint_data, path)
            if require_field(endpoint, "loadBalancingWeight", int, path) < 1:
                raise InvalidDocument(f"{path}.loadBalancingWeight: is below 1")
            weight = require_field(weights, name, (int, float), f"{path}.weights")
            if not weight > 0:
                raise InvalidDocument(f"{path}.weights.{name}: is not above 0")
            lines.append(Line(name, host, port, zone, float(weight)))
            if endpoint.get("healthStatus") == "DRAINING":
                withheld.add(name)
    if len(lines) > MAX_LINES:
        raise InvalidDocument(f"{path}: more than {MAX_LINES} lines")
    if len({line.worker for line in lines}) != len(lines):
        raise InvalidDocument(f"{path}: a worker is listed twice")
    version = parse_version(require_field(metadata, "version", str, path), f"{path}.version")
    manager, digest = require_field(metadata, "manager", str, path), require_field(metadata, "digest", str, path)
    if "base" in metadata:
        removed = require_field(metadata, "removed", list, path)
        if not all(isinstance(name, str) for name in removed):
            raise InvalidDocument(f"{path}.removed: has the wrong type")
        return Delta(
            slice_index,
            manager,
            version,
            require_field(metadata, "base", str, path),
            digest,
            tuple(lines),
            tuple(removed),
        ), withheld
    return Table(
        slice_index, manager, version, tuple(lines), require_field(metadata, "parent", str, path), digest
    ), withheld


def delta_resource(delta):
    """Returns a Delta as a ClusterLoadAssignment of its changed lines, with base and removed lines in the metadata."""
    table = Table(delta.slice, delta.manager, delta.version, delta.changed, delta.base, delta.target)
    resource = table_resource(table)
    metadata = resource["endpoints"][0]["metadata"]["filterMetadata"][METADATA_KEY]
    metadata["base"], metadata["removed"] = delta.base, list(delta.removed)
    return resource


def table_or_delta_resource(update):
    """Returns the ClusterLoadAssignment of a Table or Delta."""
    return delta_resource(update) if isinstance(update, Delta) else table_resource(update)


def parse_full_table(resource, path="table"):
    """Returns (table, withheld workers) like `parse_table`; a Delta raises InvalidDocument."""
    table, withheld = parse_table(resource, path)
    if isinstance(table, Delta):
        raise InvalidDocument(f"{path} slice-{table.slice}: is a delta, not a full table")
    return table, withheld


def discovery_response(version, type_url, resources, nonce=""):
    """Returns a DiscoveryResponse."""
    return {"versionInfo": version, "typeUrl": type_url, "nonce": nonce, "resources": resources}


def parse_resources(data, type_url, path):
    """Returns the resources of a DiscoveryResponse, which must have that type. Raises InvalidDocument."""
    if require_field(data, "typeUrl", str, path) != type_url:
        raise InvalidDocument(f"{path}.typeUrl: is not {type_url}")
    return require_field(data, "resources", list, path)


def routes_resource(manager, levels, withheld):
    """Returns a RouteConfiguration: retry policies by class, with levels and withheld workers in the metadata.

    `levels` is {class: (level, key of RETRY_POLICIES)}.
    """
    routes = []
    for name, (level, retry) in sorted(levels.items()):
        policy = RETRY_POLICIES[retry]
        retry_policy = {"retryOn": policy[0], "numRetries": policy[1]} if policy else {"numRetries": 0}
        routes.append(
            {
                "match": {"prefix": "/", "headers": [{"name": "x-class", "stringMatch": {"exact": name}}]},
                "route": {"clusterHeader": "x-slice", "retryPolicy": retry_policy},
                "metadata": {"filterMetadata": {METADATA_KEY: {"level": level, "retry": retry}}},
            }
        )
    host = {
        "name": manager,
        "domains": [manager],
        "routes": routes,
        "metadata": {"filterMetadata": {METADATA_KEY: {"withheld": sorted(withheld)}}},
    }
    return {"@type": ROUTE_CONFIGURATION, "name": manager, "virtualHosts": [host]}


def parse_routes(resource, path="routes"):
    """Returns (manager, levels by class, withheld workers) of a RouteConfiguration. Raises InvalidDocument."""
    if not isinstance(resource, dict) or resource.get("@type") != ROUTE_CONFIGURATION:
        raise InvalidDocument(f"{path}: is not a RouteConfiguration")
    manager, levels = require_field(resource, "name", str, path), {}
    host = (require_field(resource, "virtualHosts", list, path) or [None])[0]
    for route in require_field(host, "routes", list, path):
        header = (require_field(require_field(route, "match", dict, path), "headers", list, path) or [None])[0]
        name = require_field(require_field(header, "stringMatch", dict, path), "exact", str, path)
        metadata = require_field(
            require_field(require_field(route, "metadata", dict, path), "filterMetadata", dict, path),
            METADATA_KEY,
            dict,
            path,
        )
        level, retry = require_field(metadata, "level", (int, float), path), require_field(metadata, "retry", str, path)
        if level < 0 or retry not in RETRY_POLICIES:
            raise InvalidDocument(f"{path}.{name}: unknown retry policy, or a level below 0")
        levels[name] = (float(level), retry)
    metadata = require_field(
        require_field(require_field(host, "metadata", dict, path), "filterMetadata", dict, path),
        METADATA_KEY,
        dict,
        path,
    )
    withheld = require_field(metadata, "withheld", list, path)
    if not all(isinstance(name, str) for name in withheld):
        raise InvalidDocument(f"{path}.withheld: has the wrong type")
    return manager, levels, frozenset(withheld)


@dataclass(slots=True)
class Push:
    """One message of a manager to a proxy.

    It has the tables that changed, each as a Table or Delta, the workers newly withheld (True) or no longer withheld
    (False), the levels in force by class, and a mark to acknowledge or None. `fence` is the sender's fencing number,
    `number` counts its messages.
    """

    manager: str
    fence: int
    number: int
    mark: int | None
    tables: list
    withheld: dict
    levels: dict


def push_body(push):
    """Returns the body of the PUT request for a push: a JSON array with one DiscoveryResponse for each type."""
    version = f"{push.fence}.{push.number}"
    nonce = "" if push.mark is None else str(push.mark)
    responses = [
        discovery_response(
            version, CLUSTER_LOAD_ASSIGNMENT, [table_or_delta_resource(table) for table in push.tables], nonce
        )
    ]
    if push.withheld:
        health = [
            {"endpoint": {"hostname": name}, "healthStatus": "DRAINING" if is_withheld else "HEALTHY"}
            for name, is_withheld in push.withheld.items()
        ]
        responses.append(
            discovery_response(
                version,
                ENDPOINT_HEALTH_RESPONSE,
                [{"@type": ENDPOINT_HEALTH_RESPONSE, "endpointsHealth": health}],
                nonce,
            )
        )
    if push.levels:
        responses.append(
            discovery_response(version, ROUTE_CONFIGURATION, [routes_resource(push.manager, push.levels, ())], nonce)
        )
    return to_json(responses)


def parse_push(body, manager):
    """Returns the push in the body of a PUT request from a manager. Raises InvalidDocument."""
    responses = parse_json(body, "push")
    if not isinstance(responses, list) or not 1 <= len(responses) <= 3:
        raise InvalidDocument("push: is not an array of one to three DiscoveryResponses")
    fence, number = parse_version(require_field(responses[0], "versionInfo", str, "push"), "push.versionInfo")
    nonce = require_field(responses[0], "nonce", str, "push")
    if nonce and not (nonce.isdigit() and len(nonce) < 10):
        raise InvalidDocument(f"push.nonce: {nonce!r:.40} is not a mark")
    push = Push(manager, fence, number, int(nonce) if nonce else None, [], {}, {})
    push.tables = [
        parse_table(assignment, "push")[0]
        for assignment in parse_resources(responses[0], CLUSTER_LOAD_ASSIGNMENT, "push")
    ]
    for response in responses[1:]:
        type_url = require_field(response, "typeUrl", str, "push")
        if type_url == ENDPOINT_HEALTH_RESPONSE:
            for resource in require_field(response, "resources", list, "push"):
                for endpoint in require_field(resource, "endpointsHealth", list, "push"):
                    status = require_field(endpoint, "healthStatus", str, "push.endpointsHealth")
                    if status not in ("DRAINING", "HEALTHY"):
                        raise InvalidDocument(f"push.endpointsHealth.healthStatus: {status!r:.40} is unknown")
                    name = require_field(
                        require_field(endpoint, "endpoint", dict, "push"), "hostname", str, "push.endpointsHealth"
                    )
                    push.withheld[name] = status == "DRAINING"
        elif type_url == ROUTE_CONFIGURATION:
            for resource in require_field(response, "resources", list, "push"):
                push.levels.update(parse_routes(resource, "push")[1])
        else:
            raise InvalidDocument(f"push.typeUrl: {type_url!r:.80} is unknown")
    return push
