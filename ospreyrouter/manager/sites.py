"""What a manager says of the sites, for people and tools: `GET /v3/sites`. No I/O.

    dump(sites_as_seen(core, now))

Rates are a second; `need_per_s`, `able_per_s` and `usual_per_s` are of all managers together, as this one works them
out, everything else is of its own slices. Sums are since the process started. `short` is what the plan could place
nowhere.
"""


def sites_as_seen(core, now):
    spill = core.spill
    return {
        "manager": core.name,
        "need_per_s": round(spill.need(len(core.tables) / core.setup.slices), 2),
        "bounds": spill.most,
        "parts": spill.parts,
        "classes_per_s": {kind: round(row.first, 2) for kind, row in spill.demand.items()},
        "spilled": [
            {
                "from": one,
                "to": other,
                "per_s": round(spill.plan.spilled.get((one, other), 0.0), 2),
                "sum": round(amount, 1),
            }
            for (one, other), amount in sorted(spill.totals.spilled.items())
        ],
        "sites": {name: one_site(core, now, name) for name in core.setup.zones},
    }


def one_site(core, now, name):
    sites, spill, row = core.sites, core.spill, core.sites.rows[name]
    totals = spill.totals
    return {
        "state": "held out" if row.held_out else row.state,
        "for_us": now - row.since,
        "answered": row.part,
        "blind": row.blind,
        "carried_per_s": round(sites.carried(now, name), 2),
        "limit": round(sites.limit(name), 3),
        "losses": row.flaps + (row.lost_at is not None),
        "able_per_s": round(spill.able[name], 2),
        "usual_per_s": round(spill.usual[name], 2),
        "load_per_s": round(spill.plan.load.get(name, 0.0), 2),
        "short_per_s": round(spill.plan.refused.get(name, 0.0), 2),
        "carried": round(totals.carried.get(name, 0.0), 1),
        "short": round(totals.short.get(name, 0.0), 1),
        "classes": {
            kind: {
                "asked": round(totals.came.get((name, kind), 0.0), 1),
                "refused": round(totals.refused.get((name, kind), 0.0), 1),
            }
            for kind in core.classes
        },
    }
