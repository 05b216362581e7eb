"""Three sites, one lost and back with all its workers cold, in virtual time; the way back bound by proof and not.

    python -m benchmarks.sites [--short]

At a load that two sites can carry, and at one they cannot; a site that flaps each 5 s. Everything is simulated. Last
line: one JSON object.
"""

import argparse
import json
import os
import sys
import tempfile

from ospreyrouter.rehearse import play_virtually
from ospreyrouter.rehearse.day import Day

ZONES, WORKERS = ["north", "south", "west"], 12
SOUTH = [k for k in range(WORKERS) if k % 3 == 1]
CAPACITY_PER_S = WORKERS * 3 / 0.16  # cores over the work of a transaction


def day(name, load, troubles, seconds, bound, seed):
    return Day.model_validate({
        "name": name, "seconds": seconds, "seed": seed, "slices": 48, "flush": False, "sites": {"bound_returns": bound},
        "classes": [{"name": "look-up", "quoted_s": 1.0, "client_timeout_s": 3.0, "repeat": "safe"},
                    {"name": "order", "quoted_s": 1.0, "client_timeout_s": 4.0, "utility": 3.0, "repeat": "keyed", "dedup_s": 4.0}],
        "fleet": {"zones": ZONES, "managers": 3, "proxies": 6, "workers": WORKERS, "cores": 3, "queue": 40, "cold_s": 9.0,
                  "list_notice_s": 0.6},
        "traffic": {"per_s": load * CAPACITY_PER_S, "shares": {"look-up": 0.75, "order": 0.25},
                    "work_ms": {"look-up": 160.0, "order": 160.0}, "keys": 600, "retries": 2},
        "rules": {"bare_s": 2.0, "drain_grace_s": 2.0, "cold_share": 0.2, "cold_s": 12.0, "fall_multiple": 3.0},
        "channel": {"lines_per_s": 3000.0, "queue_lines": 3000.0, "transit_s": 0.03}, "troubles": troubles})


def seconds_of(stage):
    start = min(row["asked"] for row in stage.rows if row["what"] == "transaction")
    kinds, out = {row.name: row for row in stage.day.classes}, {}
    for row in stage.rows:
        if row["what"] == "transaction":
            one, kind = out.setdefault((row["asked"] - start) // 1_000_000, [0.0, 0.0]), kinds[row["cls"]]
            one[0] += kind.utility
            one[1] += kind.utility * (row["how"] == "answered" and row["took"] <= kind.quoted_s * 1e6)
    return {at: good / asked for at, (asked, good) in out.items()}


def over_safe(stage):
    """Windows of a second in which a worker that has just started was sent more than it could do then."""
    starts, arrivals, over = {}, {}, 0
    for row in stage.rows:
        if row["what"] == "started" and row["cold"]:
            starts.setdefault(row["worker"], []).append(row)
        elif row["what"] == "arrived":
            arrivals.setdefault(row["worker"], []).append(row)
    for name, lives in starts.items():
        for life in lives:
            windows = {}
            for row in arrivals.get(name, ()):
                if life["t"] <= row["t"] < life["t"] + life["cold_us"]:
                    windows[(row["t"] - life["t"]) // 1_000_000] = windows.get((row["t"] - life["t"]) // 1_000_000, 0) + row["work"]
            for at, work in windows.items():
                ramp = min(1.0, (at + 1) * 1e6 / life["cold_us"])
                over += work > life["capacity"] * (life["cold_share"] + (1 - life["cold_share"]) * ramp) * 1e6
    return over


def play(one):
    said = []

    class Log:
        def __getattr__(self, level):
            return lambda event, **fields: event.startswith("site_") and said.append((event, fields["site"], fields["manager"]))
    with tempfile.TemporaryDirectory(dir="/dev/shm" if os.access("/dev/shm", os.W_OK) else None) as folder:
        account, stage = play_virtually(one, folder, log=Log())
    part = seconds_of(stage)
    # The end of a day is cut: transactions asked then may still be under way.
    last = int(one.seconds) - 2
    worst = min(sum(part.get(at + k, 1.0) for k in range(10)) / 10 for at in range(2, last - 10))
    return {"service": account["service"], "service_worst_10s": round(worst, 4), "returning_over_safe_load": over_safe(stage),
            "rules_broken": sum(row["broken"] for row in account["rules"].values()),
            "lost": sum(event == "site_lost" for event, _, _ in said), "returning": sum(event == "site_returning" for event, _, _ in said),
            "others_called_lost": sum(event == "site_lost" and site != "south" for event, site, _ in said)}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    lost = [{"what": "worker_crash", "at_s": 10.0, "for_s": 12.0, "workers": SOUTH}]
    flaps = [{"what": "worker_crash", "at_s": 8.0 + 10 * k, "for_s": 5.0, "workers": SOUTH} for k in range(4)]
    cases = [("carried", 0.45, lost, 46.0), ("not carried", 0.8, lost, 46.0), ("flapping", 0.45, flaps, 60.0)]
    rows = {}
    for name, load, troubles, seconds in cases[:1] if options.short else cases:
        for bound in (False, True):
            found = [play(day(name, load, troubles, seconds, bound, seed)) for seed in range(1, 2 if options.short else 1 + options.seeds)]
            mean = {key: round(sum(row[key] for row in found) / len(found), 4) for key in found[0]}
            rows[f"{name}, {'bound' if bound else 'free'}"] = mean | {"service_worst_10s": min(row["service_worst_10s"] for row in found)}
            print(name, bound, json.dumps(rows[f"{name}, {'bound' if bound else 'free'}"]), flush=True)
    first = rows["carried, bound"]
    print(json.dumps({key: first[key] for key in ("service", "service_worst_10s", "returning_over_safe_load")} | {"cases": rows}))
    return 1 if any(row["rules_broken"] for row in rows.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
