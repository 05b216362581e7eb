"""Reads the settings object, which the simulator and the platform send in the same form, into a Deployment.

Unknown keys are ignored. A value that is missing, has the wrong type, is unknown or out of range raises Malformed with
the path of its key. Only keys that the format declares optional, or that a manager can do without, have a default.
"""

from ..interface import Deployment, LevelKind, RepeatPolicy, RetryPolicy, TransactionClass

REPEAT_POLICIES = {
    "idempotent": RepeatPolicy.SAFE,
    "deduplicated": RepeatPolicy.DEDUPLICATED,
    "at_most_once": RepeatPolicy.NEVER,
}
LEVEL_KINDS = {"fraction": LevelKind.SHARE, "per_second": LevelKind.RATE, "off": LevelKind.NONE}
LOAD_REPORTS = {"inline": True, "on_probe": True, "off": False}
WEIGHTS_LISTED = {"off": False, "nominal": True, "rough": True, "live": True}
MAX_DURATION_S = 1e7  # about 116 days: longer than any sensible time limit
MAX_TABLES = 65_535  # tables 0 to 65534; 65535 is interface.ALL_TABLES


class Malformed(Exception):
    """A message or setting that violates its format; the text names the value and its place."""

    @property
    def cause(self):
        """The text without the offending value, used as a counter key: there must be few different ones."""
        return str(self).partition(": ")[0].partition(" '")[0].partition(" {")[0].partition(" [")[0][:60]


def micros(seconds):
    """Seconds, as numbers on the wire, rounded to whole microseconds."""
    return round(seconds * 1_000_000)


class _Reader:
    """Reads typed keys of one object of the settings; each raises Malformed with the path of the key.

    `path` is the path of the object itself. A key without a default is required; null counts as missing.
    """

    def __init__(self, data, path):
        if not isinstance(data, dict):
            raise Malformed(f"{path} is not an object")
        self.data, self.path = data, path

    def get(self, key, types, default=None):
        """A value of one of `types`; a boolean does not pass for a number."""
        value = self.data.get(key)
        if value is None and default is not None:
            return default
        if value is None:
            raise Malformed(f"{self.path}.{key} is missing")
        if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
            raise Malformed(f"{self.path}.{key} has the wrong type: {value!r:.60}")
        return value

    def section(self, key):
        """A reader of the object under `key`."""
        return _Reader(self.data.get(key), f"{self.path}.{key}")

    def _check_range(self, key, value, minimum, maximum):
        if not minimum <= value <= maximum:
            raise Malformed(f"{self.path}.{key} is out of range: {value!r:.60}")
        return value

    def number(self, key, default=None, minimum=0.0, maximum=1e15):
        return float(self._check_range(key, self.get(key, (int, float), default), minimum, maximum))

    def integer(self, key, default=None, minimum=0, maximum=1 << 31):
        return self._check_range(key, self.get(key, int, default), minimum, maximum)

    def duration_us(self, key, default=None, min_us=0):
        """A duration given in seconds (as is the default), in whole microseconds."""
        return self._check_range(key, micros(self.number(key, default, maximum=MAX_DURATION_S)), min_us, 1 << 62)

    def boolean(self, key, default=None):
        return self.get(key, bool, default)

    def choice(self, key, table, default=None):
        """The value that `table` has for a string, which must be one of its keys."""
        value = self.get(key, str, default)
        if value not in table:
            raise Malformed(f"{self.path}.{key} is not a known value: {value!r:.60}")
        return table[value]

    def names(self, key):
        """A non-empty list of distinct, non-empty names."""
        values = self.get(key, list)
        if (
            not values
            or not all(isinstance(value, str) and value for value in values)
            or len(set(values)) < len(values)
        ):
            raise Malformed(f"{self.path}.{key} is not a list of distinct names: {values!r:.60}")
        return tuple(values)

    def booleans(self, key, count):
        """Booleans for `count` things; a list that is shorter or missing is filled up with False."""
        values = self.get(key, list, [])
        if len(values) > count or not all(isinstance(value, bool) for value in values):
            raise Malformed(f"{self.path}.{key} is not a list of at most {count} booleans: {values!r:.60}")
        return values + [False] * (count - len(values))


def _read_class(data, index, writes, local):
    reader = _Reader(data, f"Lanes[{index}]")
    name = reader.get("Name", str)
    if not name:
        raise Malformed(f"{reader.path}.Name is empty")
    return TransactionClass(
        name=name,
        quoted_us=reader.duration_us("GoalTimeS", min_us=1),
        timeout_us=reader.duration_us("GiveUpS", min_us=1),
        utility=reader.number("Gain", 1.0),
        late_utility=reader.number("LateWorth", 0.0),
        repeat=reader.choice("Repeat", REPEAT_POLICIES),
        dedup_scope=reader.get("DedupScope", str, "all"),
        dedup_us=reader.duration_us("MemorySpanS", 0.0),
        writes=writes,
        local=local,
    )


def _read_classes(top, info):
    lanes = top.get("Lanes", list)
    if not lanes:
        raise Malformed("ProfileData.Lanes is empty")
    writes, local = info.booleans("Writers", len(lanes)), info.booleans("StaysLocal", len(lanes))
    classes = tuple(_read_class(lane, index, writes[index], local[index]) for index, lane in enumerate(lanes))
    if len({one_class.name for one_class in classes}) < len(classes):
        raise Malformed(f"ProfileData.Lanes has duplicate names: {[one_class.name for one_class in classes]!r:.60}")
    return classes


def read_deployment(data):
    """Read the settings of one manager; returns a Deployment. Raises Malformed."""
    top = _Reader(data, "ProfileData")
    info, rules, bounds = top.section("FamilyInfo"), top.section("Rules"), top.section("Bounds")
    zones, managers = top.names("Azs"), top.integer("Balancers", minimum=1)
    return Deployment(
        manager_index=top.integer("Me", maximum=managers - 1),
        manager_count=managers,
        zone=top.choice("Zone", {name: index for index, name in enumerate(zones)}),
        zones=zones,
        classes=_read_classes(top, info),
        slice_count=info.integer("PartitionsN", 0, maximum=MAX_TABLES),
        proxy_count=info.integer("ProxyCount", minimum=1),
        single_owner=info.boolean("SoleOwner", False),
        lists_on_request=top.choice("Discovery", {"push": False, "ask": True}),
        list_request_deadline_us=rules.duration_us("MustAskInS", 0.0),
        probes_allowed=bounds.boolean("Probes", False),
        peers_allowed=bounds.boolean("Peers", False),
        weights_listed=top.choice("Weights", WEIGHTS_LISTED, "off"),
        report_period_us=info.duration_us("PeriodS"),
        reports_per_s=info.number("ReportsPerS"),
        lines_per_s=info.number("EgressPerS", minimum=1e-3),
        message_head=info.number("Overhead"),
        queue_lines=info.number("QueueCap", minimum=1e-3),
        max_messages=info.integer("UpdateCap", 0),
        message_window_us=info.duration_us("CountedOverS", 10.0),
        transit_us=info.duration_us("PushDelayS"),
        max_transit_us=info.duration_us("TransitMaxS"),
        max_empty_table_us=info.duration_us("BlackholeS"),
        max_in_flight_us=info.duration_us("InFlightMaxS", 0.0),
        lease_us=info.duration_us("WriteLeaseS", 0.0),
        level_kind=info.choice("ThrottleBy", LEVEL_KINDS),
        default_retry=RetryPolicy(info.integer("RetryDefault", 0, maximum=max(RetryPolicy))),
        try_factor=info.number("TryFactor", 1.0),
        cold_share=rules.number("ColdFrom", maximum=1.0),
        cold_us=rules.duration_us("ColdS"),
        overload_multiple=rules.number("FallMultiple"),
        overload_us=rules.duration_us("FallS"),
        drain_grace_us=rules.duration_us("DrainGraceS"),
        removal_counts_as_drain=not rules.boolean("SoftRemoval", False),
        full_may_have_run=rules.boolean("FullMayHaveRun", False),
        warm_keys=info.boolean("WarmKeys", False),
    )


def read_workers_report_load(data):
    """Whether workers report their load; without a `Reporting` object they do not. Raises Malformed."""
    return _Reader(data.get("Reporting", {}), "Reporting").choice("How", LOAD_REPORTS, "off")
