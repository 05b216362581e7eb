"""The worker list as an xDS document: a ClusterLoadAssignment named `workers` in a DiscoveryResponse.

What that type lacks stands in each endpoint's metadata: kind, cell, size, the process's incarnation and its age.
"""

from .documents import CLA, KEY, BadDocument, address, address_of, dump, load, need, resources_of, response

NAME = "workers"
STATES = {"HEALTHY": "ready", "DRAINING": "draining"}


def list_body(version, rows):
    """`rows` of (name, host, port, zone, kind, cell, state, weight, incarnation, age_us or None)."""
    zones = {}
    for name, host, port, zone, kind, cell, state, weight, incarnation, age in rows:
        own = {"kind": kind, "cell": cell, "size": weight, "incarnation": incarnation}
        if age is not None:
            own["age_us"] = age
        zones.setdefault(zone, []).append(
            {
                "endpoint": {"address": address(host, port), "hostname": name},
                "healthStatus": "DRAINING" if state == "draining" else "HEALTHY",
                "metadata": {"filterMetadata": {KEY: own}},
            }
        )
    endpoints = [{"locality": {"zone": zone}, "lbEndpoints": lines} for zone, lines in sorted(zones.items())]
    return dump(response(version, CLA, [{"@type": CLA, "clusterName": NAME, "endpoints": endpoints}]))


def list_of(body, zones):
    """(version, rows) of a list. Raises BadDocument: a list that is wrong in one place is not used in part."""
    data, rows, names = load(body, "worker list"), [], set()
    resources = resources_of(data, CLA, "worker list")
    if len(resources) != 1 or need(resources[0], "clusterName", str, "worker list") != NAME:
        raise BadDocument(f"worker list.clusterName: is not {NAME}")
    for place in resources[0].get("endpoints", []):
        zone = need(need(place, "locality", dict, "worker list"), "zone", str, "worker list")
        if zone not in zones:
            raise BadDocument(f"worker list.zone: {zone!r:.40} is not among the deployment's")
        for row in place.get("lbEndpoints", []):
            endpoint = need(row, "endpoint", dict, "worker list")
            name = need(endpoint, "hostname", str, "worker list")
            where = f"worker list.{name:.60}"
            if name in names:
                raise BadDocument(f"{where}: stands twice")
            names.add(name)
            host, port = address_of(endpoint, where)
            own = need(need(need(row, "metadata", dict, where), "filterMetadata", dict, where), KEY, dict, where)
            state = STATES.get(row.get("healthStatus", "HEALTHY"))
            if state is None:
                raise BadDocument(f"{where}.healthStatus: {row['healthStatus']!r:.40} is not known here")
            size, age = need(own, "size", (int, float), where), own.get("age_us")
            if age is not None and (not isinstance(age, int) or age < 0) or size < 0:
                raise BadDocument(f"{where}: a size or age is below 0")
            rows.append(
                (
                    name,
                    host,
                    port,
                    zone,
                    need(own, "kind", str, where),
                    need(own, "cell", int, where),
                    state,
                    float(size),
                    need(own, "incarnation", str, where),
                    age,
                )
            )
    return need(data, "versionInfo", str, "worker list"), rows
