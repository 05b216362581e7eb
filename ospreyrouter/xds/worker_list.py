"""The worker list as an xDS document: a ClusterLoadAssignment named `workers` in a DiscoveryResponse.

What that type has no field for is in each endpoint's metadata: kind, cell, size, the incarnation of the worker's
process and its age.
"""

from .documents import (
    CLUSTER_LOAD_ASSIGNMENT,
    METADATA_KEY,
    InvalidDocument,
    discovery_response,
    parse_address,
    parse_json,
    parse_resources,
    require_field,
    socket_address,
    to_json,
)

WORKER_LIST_CLUSTER = "workers"
STATE_OF_HEALTH = {"HEALTHY": "ready", "DRAINING": "draining"}


def worker_list_body(version, workers):
    """Returns the JSON of a worker list.

    `workers` are tuples (name, host, port, zone, kind, cell, state, weight, incarnation, age in us or None).
    """
    zones = {}
    for name, host, port, zone, kind, cell, state, weight, incarnation, age_us in workers:
        metadata = {"kind": kind, "cell": cell, "size": weight, "incarnation": incarnation}
        if age_us is not None:
            metadata["age_us"] = age_us
        zones.setdefault(zone, []).append(
            {
                "endpoint": {"address": socket_address(host, port), "hostname": name},
                "healthStatus": "DRAINING" if state == "draining" else "HEALTHY",
                "metadata": {"filterMetadata": {METADATA_KEY: metadata}},
            }
        )
    endpoints = [
        {"locality": {"zone": zone}, "lbEndpoints": endpoints_of_zone}
        for zone, endpoints_of_zone in sorted(zones.items())
    ]
    return to_json(
        discovery_response(
            version,
            CLUSTER_LOAD_ASSIGNMENT,
            [{"@type": CLUSTER_LOAD_ASSIGNMENT, "clusterName": WORKER_LIST_CLUSTER, "endpoints": endpoints}],
        )
    )


def parse_worker_list(body, zones):
    """Returns (version, workers) of a list, as tuples like those of `worker_list_body`.

    Raises InvalidDocument; a list with one invalid worker is rejected as a whole.
    """
    data, workers, names = parse_json(body, "worker list"), [], set()
    resources = parse_resources(data, CLUSTER_LOAD_ASSIGNMENT, "worker list")
    if len(resources) != 1 or require_field(resources[0], "clusterName", str, "worker list") != WORKER_LIST_CLUSTER:
        raise InvalidDocument(f"worker list.clusterName: is not {WORKER_LIST_CLUSTER}")
    for locality in resources[0].get("endpoints", []):
        zone = require_field(require_field(locality, "locality", dict, "worker list"), "zone", str, "worker list")
        if zone not in zones:
            raise InvalidDocument(f"worker list.zone: {zone!r:.40} is not a zone of the deployment")
        for endpoint_entry in locality.get("lbEndpoints", []):
            endpoint = require_field(endpoint_entry, "endpoint", dict, "worker list")
            name = require_field(endpoint, "hostname", str, "worker list")
            path = f"worker list.{name:.60}"
            if name in names:
                raise InvalidDocument(f"{path}: is listed twice")
            names.add(name)
            host, port = parse_address(endpoint, path)
            metadata = require_field(
                require_field(require_field(endpoint_entry, "metadata", dict, path), "filterMetadata", dict, path),
                METADATA_KEY,
                dict,
                path,
            )
            state = STATE_OF_HEALTH.get(endpoint_entry.get("healthStatus", "HEALTHY"))
            if state is None:
                raise InvalidDocument(f"{path}.healthStatus: {endpoint_entry['healthStatus']!r:.40} is unknown")
            size, age_us = require_field(metadata, "size", (int, float), path), metadata.get("age_us")
            if age_us is not None and (not isinstance(age_us, int) or age_us < 0) or size < 0:
                raise InvalidDocument(f"{path}: a size or age is negative")
            workers.append(
                (
                    name,
                    host,
                    port,
                    zone,
                    require_field(metadata, "kind", str, path),
                    require_field(metadata, "cell", int, path),
                    state,
                    float(size),
                    require_field(metadata, "incarnation", str, path),
                    age_us,
                )
            )
    return require_field(data, "versionInfo", str, "worker list"), workers
