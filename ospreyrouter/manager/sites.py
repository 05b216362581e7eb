"""The report of a manager about the sites, for people and tools: `GET /v3/sites`. No I/O.

    dump(sites_report(core, now))

Rates are per second. `need_per_s`, `able_per_s` and `usual_per_s` are for all managers together, as estimated by this
one; everything else is for the slices of this manager. Sums are since the process started. `short` is the demand that
the spill plan could place at no site.
"""


def sites_report(core, now):
    """The report as a dictionary that can be written as JSON."""
    spill = core.spill
    return {
        "manager": core.name,
        "need_per_s": round(spill.estimated_demand(len(core.tables) / core.setup.slices), 2),
        "bounds": spill.admission_limits,
        "parts": spill.size_fractions,
        "classes_per_s": {kind: round(class_demand.offered_per_s, 2) for kind, class_demand in spill.demand.items()},
        "spilled": [
            {
                "from": source,
                "to": target,
                "per_s": round(spill.plan.spilled.get((source, target), 0.0), 2),
                "sum": round(amount, 1),
            }
            for (source, target), amount in sorted(spill.totals.spilled.items())
        ],
        "sites": {name: site_report(core, now, name) for name in core.setup.zones},
    }


def site_report(core, now, name):
    """The entry of one site."""
    sites, spill, site_state = core.sites, core.spill, core.sites.site_states[name]
    totals = spill.totals
    return {
        "state": "held out" if site_state.held_out else site_state.state,
        "for_us": now - site_state.state_since_us,
        "answered": site_state.answered_fraction,
        "blind": site_state.blind,
        "carried_per_s": round(sites.carried_per_s(now, name), 2),
        "limit": round(sites.proven_fraction(name), 3),
        "losses": site_state.flaps + (site_state.lost_at_us is not None),
        "able_per_s": round(spill.available_per_s[name], 2),
        "usual_per_s": round(spill.usual_per_s[name], 2),
        "load_per_s": round(spill.plan.load.get(name, 0.0), 2),
        "short_per_s": round(spill.plan.refused.get(name, 0.0), 2),
        "carried": round(totals.carried.get(name, 0.0), 1),
        "short": round(totals.unplaced.get(name, 0.0), 1),
        "classes": {
            kind: {
                "asked": round(totals.offered.get((name, kind), 0.0), 1),
                "refused": round(totals.refused.get((name, kind), 0.0), 1),
            }
            for kind in core.class_indices
        },
    }
