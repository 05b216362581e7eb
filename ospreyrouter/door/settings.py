"""The settings object that the simulator and the platform both send, read into a Deployment.

Keys it does not know are left alone.
"""

from ..interface import Deployment, LevelKind, Repeat, Retry, TransactionClass

REPEATS = {"idempotent": Repeat.SAFE, "deduplicated": Repeat.KEYED, "at_most_once": Repeat.NEVER}
LEVELS = {"fraction": LevelKind.SHARE, "per_second": LevelKind.RATE, "off": LevelKind.NONE}


class Malformed(Exception):
    """A message that is not what the wire says; the text names what and where."""

    @property
    def cause(self):
        """The text without the value that was met: what is counted by cause must be of few kinds."""
        return str(self).partition(": ")[0].partition(" '")[0].partition(" {")[0].partition(" [")[0][:60]


def micros(seconds):
    """Seconds on the wire to whole microseconds."""
    return round(seconds * 1_000_000)


class _Reader:
    """Reads typed keys of one settings object, naming the key in each complaint."""

    def __init__(self, data, where):
        if not isinstance(data, dict):
            raise Malformed(f"{where} is not an object")
        self.data, self.where = data, where

    def get(self, key, kinds, default=None):
        value = self.data.get(key)
        if value is None and default is not None:
            return default
        if value is None:
            raise Malformed(f"{self.where}.{key} is missing")
        if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
            raise Malformed(f"{self.where}.{key} has the wrong type: {value!r:.60}")
        return value

    def part(self, key):
        return _Reader(self.data.get(key), f"{self.where}.{key}")

    def number(self, key, default=None):
        return self.get(key, (int, float), default)

    def span(self, key, default=None):
        return micros(self.number(key, default))

    def flag(self, key, default=None):
        return self.get(key, bool, default)

    def word(self, key, table, default=None):
        value = self.get(key, str, default)
        if value not in table:
            raise Malformed(f"{self.where}.{key} is not a known word: {value!r:.60}")
        return table[value]


def _class(data, place, info):
    reader = _Reader(data, f"Lanes[{place}]")
    flags = {key: info.get(key, list, []) for key in ("Writers", "StaysLocal")}
    return TransactionClass(
        name=reader.get("Name", str),
        quoted_us=reader.span("GoalTimeS"),
        timeout_us=reader.span("GiveUpS"),
        utility=float(reader.number("Gain", 1.0)),
        late_utility=float(reader.number("LateWorth", 0.0)),
        repeat=reader.word("Repeat", REPEATS),
        dedup_scope=reader.get("DedupScope", str, "all"),
        dedup_us=reader.span("MemorySpanS", 0.0),
        writes=bool(flags["Writers"][place]) if place < len(flags["Writers"]) else False,
        local=bool(flags["StaysLocal"][place]) if place < len(flags["StaysLocal"]) else False,
    )


def deployment(data):
    """Read the settings of one instance."""
    top = _Reader(data, "ProfileData")
    info, rules, bounds = top.part("FamilyInfo"), top.part("Rules"), top.part("Bounds")
    zones = tuple(top.get("Azs", list))
    zone = top.get("Zone", str)
    if zone not in zones:
        raise Malformed(f"ProfileData.Zone is not among Azs: {zone!r:.60}")
    return Deployment(
        me=top.get("Me", int),
        managers=top.get("Balancers", int),
        zone=zones.index(zone),
        zones=zones,
        classes=tuple(_class(item, place, info) for place, item in enumerate(top.get("Lanes", list))),
        slices=info.get("PartitionsN", int, 0),
        proxies=info.get("ProxyCount", int),
        single_owner=info.flag("SoleOwner", False),
        lists_on_request=top.word("Discovery", {"push": False, "ask": True}),
        ask_within_us=rules.span("MustAskInS", 0.0),
        probes_allowed=bounds.flag("Probes", False),
        peers_allowed=bounds.flag("Peers", False),
        weights_listed=top.get("Weights", str, "off") != "off",
        report_period_us=info.span("PeriodS"),
        reports_per_s=float(info.number("ReportsPerS")),
        lines_per_s=float(info.number("EgressPerS")),
        message_head=float(info.number("Overhead")),
        queue_lines=float(info.number("QueueCap")),
        messages_most=info.get("UpdateCap", int, 0),
        messages_over_us=info.span("CountedOverS", 10.0),
        transit_us=info.span("PushDelayS"),
        transit_most_us=info.span("TransitMaxS"),
        bare_us=info.span("BlackholeS"),
        settle_us=info.span("InFlightMaxS", 0.0),
        lease_us=info.span("WriteLeaseS", 0.0),
        level_kind=info.word("ThrottleBy", LEVELS),
        usual_retry=Retry(info.get("RetryDefault", int, 0)),
        try_factor=float(info.number("TryFactor", 1.0)),
        cold_share=float(rules.number("ColdFrom")),
        cold_us=rules.span("ColdS"),
        fall_multiple=float(rules.number("FallMultiple")),
        fall_us=rules.span("FallS"),
        grace_us=rules.span("DrainGraceS"),
        gone_binds=not rules.flag("SoftRemoval", False),
        full_may_have_run=rules.flag("FullMayHaveRun", False),
        warm_keys=info.flag("WarmKeys", False),
    )
