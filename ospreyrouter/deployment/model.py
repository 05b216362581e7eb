"""The deployment file: all fields with their units. `to_interface` converts it to the parameters of a manager.

Times in the file are seconds; in the program they are integer microseconds.
"""

import ipaddress
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .. import interface
from ..sites.tiers import InvalidTiers, build_tiers

Seconds = Annotated[float, Field(gt=0, le=86_400, allow_inf_nan=False)]
SecondsOrZero = Annotated[float, Field(ge=0, le=86_400, allow_inf_nan=False)]
Fraction = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
Reserve = Annotated[float, Field(ge=0, lt=1, allow_inf_nan=False)]
Distance = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Port = Annotated[int, Field(ge=0, le=65_535)]


def to_us(seconds):
    """Returns seconds as integer microseconds."""
    return round(seconds * 1_000_000)


class Strict(BaseModel):
    """Base of all models: unknown fields and values of another type are rejected, instances are immutable."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Address(Strict):
    """TCP address of a listener or a peer."""

    host: str = Field("127.0.0.1", description="IP address to listen on or dial")
    port: Port = Field(description="TCP port; 0 lets the system choose, for listeners only")

    @property
    def pair(self):
        """The address as (host, port)."""
        return (self.host, self.port)

    def is_loopback(self):
        """Whether the host is a loopback IP address."""
        try:
            return ipaddress.ip_address(self.host).is_loopback
        except ValueError:
            return False


class TransactionClass(Strict):
    """A class of transactions with its times, utility and rules for tries."""

    name: Name = Field(description="name of the class, as proxies read it from transactions")
    quoted_s: Seconds = Field(description="seconds; an answer within this time earns the full utility")
    client_timeout_s: Seconds = Field(description="seconds; total time that a client waits, over all tries")
    utility: float = Field(1.0, gt=0, le=1e6, description="utility of one fulfilled transaction")
    late_utility: Fraction = Field(0.0, description="fraction of the utility that is earned after the quoted time")
    repeat: Literal["safe", "keyed", "never"] = Field(
        description="whether a transaction may be tried again after a try that may have run"
    )
    dedup_scope: Literal["all", "zone", "cell"] = Field(
        "all", description="keyed classes: which workers recognize and drop a repeated transaction"
    )
    dedup_s: SecondsOrZero = Field(0.0, description="keyed classes, seconds: for how long they recognize it")
    writes: bool = Field(False, description="whether transactions of the class write data")

    @model_validator(mode="after")
    def check_times(self):
        """Raises ValueError if the client timeout or the deduplication time contradicts the other fields."""
        if self.client_timeout_s < self.quoted_s:
            raise ValueError("client_timeout_s is shorter than quoted_s")
        if self.repeat == "keyed" and not self.dedup_s:
            raise ValueError("a keyed class needs dedup_s above 0")
        return self


class Manager(Strict):
    """A manager and the addresses it listens on."""

    name: Name = Field(description="name of the manager; its index in the list is its number")
    zone: Name = Field(description="site it runs in, one of zones")
    listen: Address = Field(
        description="HTTP address that proxies connect to, for joins, acknowledged marks and load reports"
    )
    sasp: Address | None = Field(None, description="address for balancers that speak SASP; none: SASP is not served")
    memory_mb: float = Field(
        512.0, ge=64, le=1e6, description="MiB of memory for the process; a quarter of it may hold unanswered requests"
    )

    @property
    def request_bytes(self):
        """Bytes that all requests without a response may have together."""
        return int(self.memory_mb * (1 << 20) / 4)


class Channel(Strict):
    """Capacity and delays of the channel from a manager to the proxies."""

    lines_per_s: float = Field(8000.0, gt=0, le=1e9, description="lines a second that a manager sends")
    read_lines_per_s: float = Field(
        50_000.0, gt=0, le=1e9, description="lines a second that proxies read from the store"
    )
    message_head: float = Field(16.0, ge=0, le=1e6, description="lines that each message counts in addition to its own")
    queue_lines: float = Field(8000.0, gt=0, le=1e12, description="lines that may wait in the channel of a manager")
    messages_most: int = Field(0, ge=0, description="messages to one proxy within messages_over_s; 0: no limit")
    messages_over_s: Seconds = Field(10.0, description="seconds; the window of messages_most")
    transit_s: SecondsOrZero = Field(0.02, description="seconds; mean time until a message is in force at a proxy")
    transit_most_s: Seconds = Field(0.5, description="seconds; the longest such time")


class Rules(Strict):
    """Rules that every manager keeps, and what they assume of workers."""

    bare_s: Seconds = Field(2.0, description="seconds for which a joined proxy may have no worker to pick for a slice")
    drain_grace_s: Seconds = Field(2.0, description="seconds after which no transaction is sent to a draining worker")
    gone_binds: bool = Field(True, description="whether removal from the worker list has to be obeyed like a drain")
    cold_share: Fraction = Field(0.2, description="fraction of its capacity that a worker has at start, at least")
    cold_s: SecondsOrZero = Field(16.0, description="seconds after which a worker is warm, at most")
    fall_multiple: float = Field(
        3.0, gt=0, le=1e3, description="multiple of its present capacity that must not be sent to a cold worker"
    )
    fall_s: Seconds = Field(1.5, description="seconds for which that load must not last")
    full_may_have_run: bool = Field(
        False, description="whether a worker may have begun a transaction that it refuses for lack of capacity"
    )


class Reports(Strict):
    """Load reports of proxies and other reporters."""

    period_s: Seconds = Field(0.5, description="seconds between two load reports of a proxy")
    lines_per_s: float = Field(
        250.0, gt=0, le=1e9, description="lines of load reports a second that are passed to the assignment logic"
    )
    interval_s: Seconds = Field(2.0, description="seconds between the reports that other reporters are asked for")
    reporters_most: int = Field(50_000, ge=1, description="reporters that a manager remembers; others are forgotten")
    waiting_mb: float = Field(
        32.0, gt=0, le=4096, description="megabytes of request bodies that may wait to be decoded"
    )


class History(Strict):
    """Versions of tables that are kept."""

    keep_count: int = Field(64, ge=2, le=100_000, description="number of versions of each slice that are kept")
    keep_s: Seconds = Field(86_400.0, description="seconds after which a version that is not in force may be deleted")


class SitesWatch(Strict):
    """How lost sites are detected, and which sites carry their load."""

    window_s: Seconds = Field(2.0, description="seconds; the window in which the answers of a site are counted")
    bound_returns: bool = Field(
        False,
        description="whether a site that was lost has to prove itself before it gets its whole load back: until then "
        "its workers count for a part of their size",
    )

    reserve: Reserve = Field(
        0.1,
        description="fraction of the capacity of a site that is kept free of load that spills over from other sites",
    )
    reserves: dict[Name, Reserve] = Field(default_factory=dict, description="the same for single sites, by name")
    groups: dict[Name, list[Name]] = Field(default_factory=dict, description="names for several sites or groups")
    spill: dict[Name, list[Name]] = Field(
        default_factory=dict,
        description="by site, the tiers (sites or groups) that carry the load that it cannot, most preferred first; "
        "other sites carry nothing for it",
    )
    distance_ms: dict[Name, dict[Name, Distance]] = Field(
        default_factory=dict,
        description="milliseconds between sites; determines the tiers of sites that spill does not name",
    )
    cost: dict[Name, Distance] = Field(
        default_factory=dict,
        description="price of carrying load at a site, in any unit; within a band of distance the cheaper site is the "
        "earlier tier; 1 unless given",
    )
    band_ms: Seconds = Field(5.0, description="milliseconds; distances within one band count as equal")
    refuse_ahead: bool = Field(
        True,
        description="whether load that the remaining sites cannot carry is refused at once, by utility, and not only "
        "once answers are slow",
    )

    @property
    def distinguishes_sites(self):
        """Whether load of a lost site is distributed by site; otherwise all remaining sites are treated alike."""
        return bool(self.spill or self.distance_ms or self.reserves or self.cost)


class Custody(Strict):
    """Leases by which managers are in charge of slices."""

    lease_s: Seconds = Field(
        1.0, description="seconds; a manager that did not renew its lease for this time stops publishing"
    )
    peers: bool = Field(
        False, description="whether managers may connect to each other, to announce changes of the store"
    )
    drift: Fraction = Field(
        0.05, description="fraction by which other managers wait longer than the lease, as clocks may drift apart"
    )


class ProxyPlace(Strict):
    """A proxy with its file agent."""

    name: Name = Field(description="name of the proxy; its index in the list is its number")
    zone: Name = Field(description="site it runs in")
    agent: Address = Field(description="address on which its file agent listens for pushed tables")
    folder: str = Field(description="folder of its table files; relative to the deployment file")
    usual_per_s: float = Field(
        0.0, ge=0, le=1e9, description="transactions a second that it usually receives, roughly; 0: not known"
    )


class WorkerList(Strict):
    """The service that lists the workers."""

    listen: Address = Field(description="address on which the worker list is served")
    wait_s: Seconds = Field(5.0, description="seconds for which a request is held open while the list does not change")


class DeploymentFile(Strict):
    """A deployment, as read by each of its managers and file agents."""

    zones: Annotated[list[Name], Field(min_length=1, max_length=256)] = Field(description="names of the sites")
    slices: int = Field(ge=1, le=65_000, description="number of slices that keys are divided into")
    classes: Annotated[list[TransactionClass], Field(min_length=1, max_length=30)]
    managers: Annotated[list[Manager], Field(min_length=1, max_length=64)]
    proxies: Annotated[list[ProxyPlace], Field(min_length=1, max_length=10_000)]
    worker_list: WorkerList
    store: str = Field(description="folder shared by all managers; relative to the deployment file")
    channel: Channel = Field(default_factory=lambda: Channel())
    rules: Rules = Field(default_factory=lambda: Rules())
    reports: Reports = Field(default_factory=lambda: Reports())
    custody: Custody = Field(default_factory=lambda: Custody())
    history: History = Field(default_factory=lambda: History())
    probes: bool = Field(True, description="whether managers may probe workers")
    probe_timeout_s: Seconds = Field(0.6, description="seconds after which a probe times out")
    sites: SitesWatch = Field(default_factory=lambda: SitesWatch())
    weights_listed: bool = Field(False, description="whether the worker list states the sizes of workers")
    levels: Literal["share", "none"] = Field("share", description="whether proxies apply admission levels")
    retry: Literal["none", "proven", "once", "twice"] = Field(
        "proven", description="retry policy of proxies unless a manager sets another"
    )
    warm_keys: bool = Field(False, description="whether a worker is faster on keys that it served recently")
    tables_a_file: int = Field(8, ge=1, le=1000, description="number of tables in one file beside a proxy")
    deltas: bool = Field(True, description="whether deltas are pushed instead of full tables when they are smaller")
    flush: bool = Field(True, description="whether written files are flushed to disk before they are swapped in")
    open_network: bool = Field(False, description="allows addresses that are not loopback")

    @model_validator(mode="after")
    def check_consistency(self):
        """Raises ValueError if names, zones, tiers, addresses or the length of the channel contradict each other."""
        for field, names in (
            ("zones", self.zones),
            ("classes", [entry.name for entry in self.classes]),
            ("managers", [entry.name for entry in self.managers]),
            ("proxies", [entry.name for entry in self.proxies]),
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"{field}: a name is given twice")
        for field, entries in (("managers", self.managers), ("proxies", self.proxies)):
            for index, entry in enumerate(entries):
                if entry.zone not in self.zones:
                    raise ValueError(f"{field}.{index}.zone: {entry.zone!r} is not among zones")
        for site in self.sites.reserves:
            if site not in self.zones:
                raise ValueError(f"sites.reserves: {site!r} is not among zones")
        try:
            self.tiers()
        except InvalidTiers as error:
            raise ValueError(f"sites.{error}") from None
        if not self.open_network:
            addresses = [(f"managers.{position}.listen", entry.listen) for position, entry in enumerate(self.managers)]
            addresses += [(f"proxies.{position}.agent", entry.agent) for position, entry in enumerate(self.proxies)]
            addresses += [
                (f"managers.{position}.sasp", entry.sasp) for position, entry in enumerate(self.managers) if entry.sasp
            ]
            for path, address in [*addresses, ("worker_list.listen", self.worker_list.listen)]:
                if not address.is_loopback():
                    raise ValueError(f"{path}.host: {address.host!r} is not loopback; set open_network to allow it")
        # With a shorter channel a manager waits for capacity that never becomes free, and nothing is published.
        min_lines = 2 * len(self.proxies) * (self.channel.message_head + 2 + len(self.classes))
        if self.channel.queue_lines < min_lines:
            raise ValueError(
                f"channel.queue_lines: {self.channel.queue_lines:g} is too short: two messages to each of "
                f"{len(self.proxies)} proxies take {min_lines:g} lines"
            )
        return self

    def tiers(self):
        """Returns {site: [[site, ...], ...]}: the tiers that carry the load a site cannot, most preferred first."""
        sites = self.sites
        return build_tiers(self.zones, sites.spill, sites.groups, sites.distance_ms, sites.cost, sites.band_ms)

    def reserves_by_site(self):
        """Returns {site: fraction of its capacity kept free of spilled load}."""
        return {site: self.sites.reserves.get(site, self.sites.reserve) for site in self.zones}

    def to_interface(self, manager_index):
        """Returns the start parameters of a manager, by its index."""
        retry = {
            "none": interface.RetryPolicy.NONE,
            "proven": interface.RetryPolicy.IF_NOT_RUN,
            "once": interface.RetryPolicy.ONCE,
            "twice": interface.RetryPolicy.TWICE,
        }[self.retry]
        channel, rules = self.channel, self.rules
        return interface.Deployment(
            manager_index=manager_index,
            manager_count=len(self.managers),
            zone=self.zones.index(self.managers[manager_index].zone),
            zones=tuple(self.zones),
            slice_count=self.slices,
            proxy_count=len(self.proxies),
            classes=tuple(
                interface.TransactionClass(
                    entry.name,
                    to_us(entry.quoted_s),
                    to_us(entry.client_timeout_s),
                    entry.utility,
                    entry.late_utility,
                    interface.RepeatPolicy(entry.repeat),
                    entry.dedup_scope,
                    to_us(entry.dedup_s),
                    entry.writes,
                    False,
                )
                for entry in self.classes
            ),
            single_owner=False,
            lists_on_request=False,
            list_request_deadline_us=0,
            probes_allowed=self.probes,
            peers_allowed=False,
            weights_listed=self.weights_listed or self.sites.bound_returns or self.sites.distinguishes_sites,
            report_period_us=to_us(self.reports.period_s),
            reports_per_s=self.reports.lines_per_s,
            lines_per_s=channel.lines_per_s,
            message_head=channel.message_head,
            queue_lines=channel.queue_lines,
            max_messages=channel.messages_most,
            message_window_us=to_us(channel.messages_over_s),
            transit_us=to_us(channel.transit_s),
            max_transit_us=to_us(channel.transit_most_s),
            max_empty_table_us=to_us(rules.bare_s),
            max_in_flight_us=max(to_us(entry.client_timeout_s) for entry in self.classes),
            lease_us=0,
            level_kind=interface.LevelKind(self.levels),
            default_retry=retry,
            try_factor=1.0,
            cold_share=rules.cold_share,
            cold_us=to_us(rules.cold_s),
            overload_multiple=rules.fall_multiple,
            overload_us=to_us(rules.fall_s),
            drain_grace_us=to_us(rules.drain_grace_s),
            removal_counts_as_drain=rules.gone_binds,
            full_may_have_run=rules.full_may_have_run,
            warm_keys=self.warm_keys,
        )


def deployment_schema():
    """Returns the JSON schema of the deployment file, which is published."""
    return DeploymentFile.model_json_schema()
