"""Plans what each site carries when some cannot carry their own load, and what has to be refused. No I/O, no state.

    plan = plan_spill(total_load, usual, available, tiers, reserve)
    plan.load         # {site: tries a second}
    plan.spilled      # {(from, to): tries a second}
    plan.refused      # {from: tries a second}

`total_load` is the load of all sites together; a site's own part of it is in proportion to its usual capacity, as the
policy distributes it. Own load may use all of a site; spilled load must leave a reserve free: `reserve[site]` of its
available capacity. All sites that lack capacity ask their first tier, then their second, and so on; a tier is filled in
proportion to the free capacity of its sites, and several sites that ask the same one share it in proportion to what
they ask for.
"""

from dataclasses import dataclass, field

EPSILON = 1e-9
MAX_PASSES = 50  # each pass leaves at most a fraction of what the previous one left


@dataclass
class SpillPlan:
    """Loads in tries a second; see the top of this module."""

    load: dict
    spilled: dict = field(default_factory=dict)
    refused: dict = field(default_factory=dict)

    @property
    def carried(self):
        """Tries a second that all sites carry together."""
        return sum(self.load.values())


def plan_spill(total_load, usual, available, tiers, reserve):
    """Returns a SpillPlan.

    `usual` and `available` are {site: tries a second}, `tiers` is {site: [[site, ...], ...]}, and `reserve` is {site:
    fraction}.
    """
    total_usual = sum(usual.values())
    own = {site: total_load * (part / total_usual) if total_usual else 0.0 for site, part in usual.items()}
    plan = SpillPlan({site: min(own[site], available[site]) for site in usual})
    unplaced = {site: own[site] - plan.load[site] for site in usual}
    for tier_index in range(max((len(site_tiers) for site_tiers in tiers.values()), default=0)):
        for _ in range(MAX_PASSES):
            if not spill_pass(
                plan,
                unplaced,
                available,
                {
                    site: site_tiers[tier_index] if tier_index < len(site_tiers) else []
                    for site, site_tiers in tiers.items()
                },
                reserve,
                min_moved=EPSILON * max(1.0, total_load),
            ):
                break
    plan.refused = {site: amount for site, amount in unplaced.items() if amount > EPSILON}
    return plan


def spill_pass(plan, unplaced, available, tier, reserve, min_moved):
    """Moves unplaced load of every site to the sites of its current tier, and returns whether more than `min_moved` was
    moved. Further passes may move more: a site that had to share one site of its tier may find room at another one.
    """
    free = {site: max(0.0, available[site] * (1 - reserve[site]) - plan.load[site]) for site in available}
    requested, moved = {}, 0.0  # (from, to)
    for site in available:
        room = sum(free[other] for other in tier[site])
        if unplaced[site] > EPSILON and room > EPSILON:
            for other in tier[site]:
                requested[site, other] = min(unplaced[site], room) * free[other] / room
    wanted = dict.fromkeys(available, 0.0)
    for (_, target), amount in requested.items():
        wanted[target] += amount
    for (source, target), amount in requested.items():
        amount *= min(1.0, free[target] / wanted[target]) if wanted[target] > EPSILON else 0.0
        if amount > EPSILON:
            plan.spilled[source, target] = plan.spilled.get((source, target), 0.0) + amount
            plan.load[target] += amount
            unplaced[source] -= amount
            moved += amount
    return moved > min_moved


def relative_sizes(plan, available):
    """Returns {site: fraction of its size for which its workers count}.

    Only the ratio of sizes matters, so the site with the highest utilization counts in full.
    """
    utilization = {site: plan.load[site] / available[site] for site in available if available[site] > EPSILON}
    highest = max(utilization.values(), default=0.0)
    return {
        site: utilization[site] / highest if highest > EPSILON and site in utilization else 1.0 for site in available
    }


def admission_levels(offered, weight, value, capacity):
    """Returns {class: fraction to admit}, where the classes of least value are refused first.

    `offered` is {class: tries a second}, `weight` {class: work of one try}, and `capacity` the work a second that can
    be done.
    """
    levels = {}
    for kind in sorted(offered, key=lambda kind: (-value[kind], kind)):
        work = offered[kind] * weight[kind]
        levels[kind] = min(1.0, max(0.0, capacity / work)) if work > EPSILON else 1.0
        capacity -= work
    return levels
