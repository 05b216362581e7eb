"""Converts a day in the format of the operators' bench (output of `lbsim draw`) into a Day.

`read_bench_day(path)` returns (day, unplayed), where `unplayed` has a line of text for each trouble that cannot be
played here, so that none is skipped silently. Fleet, classes, keys, slices, rate and troubles are converted. What the
bench models and the stand-ins here do not is left out: thrashing, noise of load reports, the front layer.

Times of the bench are microseconds unless a comment says otherwise.
"""

import math
from pathlib import Path

import orjson
from pydantic import ValidationError

from ..deployment import InvalidDeployment
from .day import Day

REPEAT_OF_EFFECT = {"safe": "safe", "keyed": "keyed", "unsafe": "never"}


def read_bench_day(path):
    """(day, unplayed) from a file; raises InvalidDeployment with the file, the field and the reason."""
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise InvalidDeployment(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise InvalidDeployment(f"{path}: {error}") from None
    try:
        troubles, unplayed = TroubleConverter(data).convert_all()
        return Day.model_validate(convert_settings(data) | {"troubles": troubles}), unplayed
    except (KeyError, IndexError, TypeError) as error:
        raise InvalidDeployment(f"{path}: {error}: missing, or not in the format of the bench") from None
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        raise InvalidDeployment(f"{path}: {'.'.join(map(str, first['loc']))}: {first['msg']}") from None


def to_seconds(us):
    """Convert microseconds to seconds."""
    return us / 1e6


def convert_settings(data):
    """The fields of a Day, without its troubles, from a day of the bench; only its first tier is used."""
    family, tier, traffic = data["fam"], data["tiers"][0], data["traffic"]
    server_kind, zones = tier["kinds"][0], data["zones"]
    running = sum(bool(server["up"]) for server in data["servers"])
    classes = [
        {
            "name": settings["name"],
            "quoted_s": to_seconds(settings["aim"]),
            "client_timeout_s": to_seconds(settings["deadline"]),
            "utility": settings["worth"],
            "late_utility": settings["late_worth"],
            "repeat": REPEAT_OF_EFFECT[settings["effect"]],
            "dedup_scope": settings["group"],
            "dedup_s": to_seconds(settings["window"]),
            "writes": settings["write"],
        }
        for settings in data["classes"]
    ]
    shares = {settings["name"]: settings["share"] for settings in data["classes"]}
    work_ms = {settings["name"]: settings["work"] / 1000 for settings in data["classes"]}
    # The bench gives the load as a fraction of what the fleet can do with warm keys; a transaction with a warm key
    # takes 0.6 of its work.
    capacity = sum(
        server["speed"] * tier["kinds"][server.get("kind", 0)]["cores"] for server in data["servers"] if server["up"]
    )
    mean_ms = sum(shares[name] * work_ms[name] for name in shares) / sum(shares.values()) * 0.6
    rate = max(family["rate"], 8000.0)
    proxies = len(data["balancers"])
    return {
        "name": f"bench {data['kind']}",
        "seconds": to_seconds(data["length"]),
        "seed": 1,
        "slices": family["slices"],
        "classes": classes,
        "warm_keys": family["affinity_gain"] > 0,
        "fleet": {
            "zones": zones,
            "managers": len(family["controllers"]),
            "proxies": proxies,
            "workers": len(data["servers"]),
            "spare": len(data["servers"]) - running,
            "cells": 1 + max(server["cell"] for server in data["servers"]),
            "cores": server_kind["cores"],
            "speeds": [server["speed"] for server in data["servers"]],
            "queue": server_kind["queue"],
            "cold_share": server_kind["cold_from"],
            "cold_s": to_seconds(server_kind["cold"]),
            "connection_us": round(tier["handshake_work"]),
            "probe_us": round(tier["probe_work"]),
            "list_notice_s": to_seconds(data["discovery"]["notice"]),
        },
        "traffic": {
            "per_s": traffic["load"] * capacity * 1000 / mean_ms,
            "shares": shares,
            "work_ms": work_ms,
            "keys": max(1, traffic["keys"]),
            "zipf": traffic["key_zipf"],
            "retries": data["clients"]["retries"],
            "try_share": min(1.0, data["clients"]["try_share"]),
            "backoff_ms": max(1.0, data["clients"]["backoff_us"] / 1000),
            "front_s": to_seconds(data.get("front_notice", 1_500_000)),
        },
        "rules": {
            "bare_s": to_seconds(family["bare"]),
            "drain_grace_s": to_seconds(data["drain_grace"]),
            "gone_binds": not data.get("only_draining_binds", False),
            "cold_share": tier["stated_cold_from"],
            "cold_s": to_seconds(tier["stated_cold"]),
            "fall_multiple": data["fall_multiple"],
            "fall_s": to_seconds(data["fall_for"]),
            "full_may_have_run": data.get("full_may_have_run", False),
        },
        "channel": {
            "lines_per_s": rate,
            "message_head": family["head"],
            "transit_s": 0.05,
            "transit_most_s": 0.6,
            "queue_lines": max(family["backlog"], rate, 2.0 * proxies * (family["head"] + 2 + len(classes))),
        },
        "reports": {"period_s": to_seconds(family["period"]), "lines_per_s": family["intake"]},
        "custody": {"lease_s": max(0.5, to_seconds(family["takeover"]) / 2)},
    }


class TroubleConverter:
    """Converts the troubles of a bench day into troubles of a Day.

    Each kind of the bench has a method `_KIND(event, when)` that returns a list of troubles; `when` has at_s and for_s.
    Kinds without a method are reported in `unplayed`.
    """

    def __init__(self, data):
        self.data, self.unplayed = data, []
        self.proxy_count, self.manager_count = len(data["balancers"]), len(data["fam"]["controllers"])

    def convert_all(self):
        """(troubles, unplayed)."""
        troubles = []
        for event in self.data["troubles"]:
            method = getattr(self, "_" + event["kind"], None)
            if method is None:
                self.unplayed.append(f"{event['kind']} at {event['at'] / 1e6:.1f} s: no such trouble here")
            else:
                troubles += method(event, {"at_s": to_seconds(event["at"]), "for_s": to_seconds(event["len"])})
        return troubles, self.unplayed

    def _worker_trouble(self, kind, event, when, **fields):
        return [{"what": kind, "workers": event["on"], **when, **fields}] if event["on"] else []

    def _crash(self, event, when):
        return self._worker_trouble("worker_crash", event, when)

    def _vanish(self, event, when):
        return self._worker_trouble("worker_vanish", event, when)

    def _zone_loss(self, event, when):
        self.unplayed.append(
            f"zone_loss at {event['at'] / 1e6:.1f} s: played for workers only; the day does not say whether proxies "
            "and managers of the zone are lost, too"
        )
        return self._worker_trouble("worker_crash", event, when)

    def _hang(self, event, when):
        return self._worker_trouble("worker_hang", event, when)

    def _fast_errors(self, event, when):
        return self._worker_trouble("worker_errors", event, when, share=event["size"])

    def _answer_lost(self, event, when):
        return self._worker_trouble("answer_lost", event, when, share=event["size"])

    def _wrong_list(self, event, when):
        if event.get("how") == "ghosts":
            return [{"what": "ghosts", "count": max(1, len(event["on"])), **when}]
        if event.get("how") in ("shrink", "empty"):
            return self._worker_trouble("hidden", event, when)
        self.unplayed.append(f"wrong_list ({event.get('how')}) at {event['at'] / 1e6:.1f} s: no such list here")
        return []

    def _deploy(self, event, when):
        troubles = []
        for step in event["steps"]:
            at_s = to_seconds(step["at"])
            if step["stop"]:
                # `extra` is the time for which the workers drain, in seconds.
                troubles.append({"what": "retire", "at_s": at_s, "for_s": event["extra"], "workers": step["stop"]})
            if step["start"]:
                troubles.append({"what": "add", "at_s": at_s, "for_s": 0.0, "workers": step["start"]})
        return troubles

    _shrink = _grow = _deploy

    def _hot_key(self, event, when):
        return [{"what": "hot_key", "keys": max(1, int(event["extra"])), "share": event["size"], **when}]

    def _origin_slow(self, event, when):
        # `size` is the factor by which the channel is slower. Agents that answer 60 ms later for each unit of it have
        # the same effect.
        return [{"what": "slow_channel", "ms": 60.0 * event["size"], **when}]

    def _counter_down(self, event, when):
        count = max(1, math.ceil(event["size"] * self.proxy_count))
        return [
            {"what": "lose_manager", "proxy": proxy, "manager": manager, **when}
            for proxy in range(count)
            for manager in range(self.manager_count)
        ]

    def _balancer_kills(self, indices, when):
        """Kill proxies and managers; the bench numbers the proxies first, then the managers."""
        return [
            {"what": "proxy_kill", "proxy": index, **when}
            if index < self.proxy_count
            else {"what": "manager_kill", "manager": index - self.proxy_count, **when}
            for index in indices
        ]

    def _balancer_crash(self, event, when):
        return self._balancer_kills(event["on"], when)

    def _balancer_roll(self, event, when):
        return [
            trouble
            for step in event["steps"]
            for trouble in self._balancer_kills(step["stop"], {"at_s": to_seconds(step["at"]), "for_s": event["extra"]})
        ]

    def _balancer_stall(self, event, when):
        managers = [index - self.proxy_count for index in event["on"] if index >= self.proxy_count]
        if len(managers) < len(event["on"]):
            self.unplayed.append(f"balancer_stall of proxies at {event['at'] / 1e6:.1f} s: no such trouble here")
        # The bench stalls managers for `size` milliseconds every `extra` seconds.
        troubles, at_s = [], when["at_s"]
        while managers and at_s < when["at_s"] + when["for_s"]:
            troubles += [
                {"what": "manager_stall", "manager": manager, "at_s": at_s, "for_s": event["size"] / 1000}
                for manager in managers
            ]
            at_s += max(event["extra"], event["size"] / 1000 + 0.5)
        return troubles
