"""Tiers: the order in which other sites carry the load that a site cannot carry. No I/O.

    tiers = build_tiers(sites, spill, groups, distance_ms, cost, band_ms)   # {site: [[site, ...], ...]}

`spill` configures the tiers explicitly: for a site, a list of tiers, each the name of a site or of a group of sites and
other groups. For a site that it does not list, the tiers follow from distance in bands of `band_ms`, the nearest first,
and within a band from cost, the lowest first; without distances all other sites form one tier. Raises InvalidTiers with
field and reason.
"""


class InvalidTiers(ValueError):
    """The configuration is invalid; the text is "field: reason"."""


def resolve_sites(name, sites, groups, field, ancestors=()):
    """Returns the sites that the name of a site or group stands for. Raises InvalidTiers for unknown names and cycles.

    `field` names the setting for error texts; `ancestors` are the groups being resolved.
    """
    if name in ancestors:
        raise InvalidTiers(
            f"{field}: the groups {' -> '.join([*ancestors[ancestors.index(name) :], name])} form a cycle"
        )
    if name in groups:
        return [
            site
            for member in groups[name]
            for site in resolve_sites(member, sites, groups, f"groups.{name}", (*ancestors, name))
        ]
    if name not in sites:
        raise InvalidTiers(f"{field}: {name!r} is neither a site nor a group")
    return [name]


def check_sites(field, names, sites):
    """Raises InvalidTiers if a name is not a site."""
    for name in names:
        if name not in sites:
            raise InvalidTiers(f"{field}: {name!r} is not a site of this deployment")


def build_tiers(sites, spill, groups, distance_ms, cost, band_ms):
    """Returns {site: [[site, ...], ...]}, the nearest tier first; see the top of this module."""
    check_sites("spill", spill, sites)
    check_sites("distance_ms", distance_ms, sites)
    check_sites("cost", cost, sites)
    for name in groups:
        if name in sites:
            raise InvalidTiers(f"groups.{name}: is the name of a site")
        resolve_sites(name, sites, groups, f"groups.{name}")
    for site, distances in distance_ms.items():
        check_sites(f"distance_ms.{site}", distances, sites)
        for other, distance in distances.items():
            if distance_ms.get(other, {}).get(site, distance) != distance:
                raise InvalidTiers(f"distance_ms.{site}.{other}: differs from distance_ms.{other}.{site}")
    return {
        site: configured_tiers(site, spill[site], sites, groups)
        if site in spill
        else distance_tiers(site, sites, distance_ms, cost, band_ms)
        for site in sites
    }


def configured_tiers(site, names, sites, groups):
    """Returns the tiers that `spill` lists for a site; within a tier, sites are in the order of the deployment."""
    tiers, seen = [], set()
    for position, name in enumerate(names):
        field = f"spill.{site}.{position}"
        tier = [member for member in resolve_sites(name, sites, groups, field) if member != site or name == site]
        if site in tier:
            raise InvalidTiers(f"{field}: a site cannot spill to itself")
        repeated = seen & set(tier)
        if repeated:
            raise InvalidTiers(f"{field}: {sorted(repeated)[0]!r} is already in an earlier tier")
        seen |= set(tier)
        tiers.append(sorted(set(tier), key=sites.index))
    return [tier for tier in tiers if tier]


def distance_tiers(site, sites, distance_ms, cost, band_ms):
    """Returns the tiers of a site by band of distance and by cost."""
    ranks = {}
    for other in sites:
        if other != site:
            distance = distance_ms.get(site, {}).get(other, distance_ms.get(other, {}).get(site))
            band = float("inf") if distance is None else distance // band_ms  # sites at unknown distance come last
            ranks.setdefault((band, cost.get(other, 1.0)), []).append(other)
    return [ranks[rank] for rank in sorted(ranks)]
