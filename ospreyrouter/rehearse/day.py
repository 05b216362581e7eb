"""The file format of a day: fleet, traffic, and troubles by time.

Times in the file are seconds or milliseconds as their names say. `deployment(day, ports)` derives the deployment file,
`worker_specs(day, ports)` the settings of the stand-in workers.
"""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, model_validator

from ..deployment import DeploymentFile
from ..deployment.model import Channel, Custody, Fraction, Reports, Rules, Seconds, SitesWatch, Strict, TransactionClass


class Fleet(Strict):
    """Managers, proxies, balancers and workers of a day."""

    zones: list[str] = Field(
        min_length=1, description="names of the sites; managers, proxies and workers are assigned to them in turn"
    )
    managers: int = Field(ge=1, le=16)
    proxies: int = Field(ge=1, le=500)
    balancers: int = Field(0, ge=0, le=500, description="load balancers that speak SASP, in addition to the proxies")
    workers: int = Field(ge=1, le=1000)
    spare: int = Field(0, ge=0, description="workers, those with the highest numbers, that do not run at the start")
    cells: int = Field(
        3, ge=1, description="groups of workers that share the record of keys by which they drop duplicates"
    )
    cores: int = Field(4, ge=1, le=256, description="cores of a worker")
    speeds: list[float] = Field(default=[1.0], min_length=1, description="core speeds, assigned to workers in turn")
    queue: int = Field(64, ge=0, description="transactions that a worker queues")
    cold_share: Fraction = Field(
        0.3, description="true fraction of its capacity that a worker has right after a cold start"
    )
    cold_s: Seconds = Field(10.0, description="true seconds after a cold start until a worker is warm")
    connection_us: int = Field(2000, ge=0, description="microseconds of work that a new connection costs a worker")
    probe_us: int = Field(3000, ge=0, description="microseconds of work that a probe costs a worker")
    list_notice_s: float = Field(0.6, ge=0, description="seconds until the worker list shows a change of a worker")


class Traffic(Strict):
    """Transactions that the clients send."""

    per_s: float = Field(gt=0, le=100_000, description="transactions per second")
    shares: dict[str, float] = Field(description="share of each class")
    work_ms: dict[str, float] = Field(
        description="mean work of a transaction by class, in milliseconds of a core of speed 1"
    )
    keys: int = Field(500, ge=1)
    zipf: float = Field(0.6, ge=0)
    retries: int = Field(2, ge=0, le=10, description="maximum number of tries of a client after the first")
    try_share: Fraction = Field(0.6, description="fraction of the client timeout after which a try is given up")
    backoff_ms: float = Field(150.0, gt=0)
    elsewhere: bool = Field(
        False, description="whether a client that could not connect to a proxy tries another site next"
    )
    front_s: float = Field(
        1.5, ge=0, le=60, description="seconds for which the front layer keeps sending to a dead proxy"
    )

    seconds: float = Field(0.0, exclude=True)

    @property
    def work_us(self):
        """Mean work of a transaction by class, in microseconds of a core of speed 1."""
        return {name: ms * 1000 for name, ms in self.work_ms.items()}

    @property
    def backoff_us(self):
        """Mean wait before the first repeated try, in microseconds."""
        return self.backoff_ms * 1000


class Trouble(Strict):
    """Base of all troubles: when one begins and how long it lasts."""

    at_s: float = Field(ge=0, description="seconds from the start of the traffic until the trouble begins")
    for_s: float = Field(5.0, ge=0, description="seconds that the trouble lasts")


class WorkersTrouble(Trouble):
    """Workers crash, hang, stop answering, drain, are missing in the worker list, retire or are added."""

    what: Literal["worker_crash", "worker_hang", "worker_vanish", "drain", "hidden", "retire", "add"]
    workers: list[int] = Field(min_length=1, description="indices of workers, from 0")


class SharedTrouble(Trouble):
    """Workers fail a share of the transactions, or execute them and lose the answers."""

    what: Literal["worker_errors", "answer_lost"]
    workers: list[int] = Field(min_length=1)
    share: Fraction


class ManagerTrouble(Trouble):
    """A manager is killed or paused."""

    what: Literal["manager_kill", "manager_stall"]
    manager: int = Field(ge=0)


class ProxyTrouble(Trouble):
    """A proxy is killed; on `proxy_wipe` its files are deleted before it starts again."""

    what: Literal["proxy_kill", "proxy_wipe"]
    proxy: int = Field(ge=0)


class SiteLoss(Trouble):
    """All workers, managers or proxies of a site are lost."""

    what: Literal["site_loss"]
    site: str = Field(description="one of the fleet's zones")
    parts: list[Literal["workers", "managers", "proxies"]] = Field(
        default=["workers", "managers", "proxies"], min_length=1
    )


class Unreached(Trouble):
    """Packets of managers or proxies do not reach some workers."""

    what: Literal["unreached"]
    workers: list[int] = Field(min_length=1, description="indices of workers, from 0")
    by: Literal["managers", "proxies"] = Field(description="the senders whose packets do not arrive")


class StoreTrouble(Trouble):
    """The store of some managers hangs, or carries out calls without returning results."""

    what: Literal["store_hang", "store_answers_lost"]
    managers: list[int] = Field(
        min_length=1,
        description="indices of managers whose calls to the store hang, or are carried out without returning a result",
    )


class ClockStep(Trouble):
    """The time of day of a manager steps."""

    what: Literal["clock_step"]
    manager: int = Field(ge=0)
    by_s: float = Field(ge=-1e6, le=1e6, description="seconds by which its time of day steps; it steps back at the end")


class LoseManager(Trouble):
    """A proxy cannot reach a manager."""

    what: Literal["lose_manager"]
    proxy: int = Field(ge=0)
    manager: int = Field(ge=0)


class BalancerDeaf(Trouble):
    """A balancer does not read from its connections."""

    what: Literal["balancer_deaf"]
    balancer: int = Field(ge=0)


class SlowChannel(Trouble):
    """Proxies acknowledge pushes late."""

    what: Literal["slow_channel"]
    ms: float = Field(gt=0, description="milliseconds by which each answer to a push is delayed")


class Ghosts(Trouble):
    """The worker list has workers that do not exist."""

    what: Literal["ghosts"]
    count: int = Field(ge=1, le=1000, description="number of workers listed that do not exist")


class ReportFlood(Trouble):
    """A sender outside the fleet floods each manager with load reports."""

    what: Literal["report_flood"]
    streams: int = Field(
        ge=1, le=1000, description="streams to each manager, on which reports are sent as fast as they are answered"
    )
    reports: int = Field(100, ge=1, le=2000, description="load reports in each request")


class RollBack(Trouble):
    """An operator restores the tables of an earlier time."""

    what: Literal["rollback"]
    back_s: float = Field(
        gt=0, description="seconds between the time whose tables are restored and now; they are held for `for_s`"
    )


class HotKey(Trouble):
    """A share of the transactions uses a few keys."""

    what: Literal["hot_key"]
    keys: int = Field(ge=1)
    share: Fraction


AnyTrouble = Annotated[
    WorkersTrouble
    | SharedTrouble
    | ManagerTrouble
    | ProxyTrouble
    | LoseManager
    | SlowChannel
    | Ghosts
    | HotKey
    | ReportFlood
    | RollBack
    | BalancerDeaf
    | SiteLoss
    | Unreached
    | StoreTrouble
    | ClockStep,
    Field(discriminator="what"),
]


class Day(Strict):
    """A day to rehearse."""

    name: str
    seconds: float = Field(gt=0, le=3600, description="seconds of traffic")
    seed: int = 1
    fleet: Fleet
    slices: int = Field(ge=1, le=65_000)
    classes: list[TransactionClass]
    traffic: Traffic
    rules: Rules = Field(default_factory=lambda: Rules())
    channel: Channel = Field(default_factory=lambda: Channel())
    reports: Reports = Field(default_factory=lambda: Reports())
    custody: Custody = Field(default_factory=lambda: Custody())
    flush: bool = True
    deltas: bool = True
    tampered: Fraction = Field(0.0, description="fraction of all pushes that a relay alters, repeats, delays or loses")
    sites: SitesWatch = Field(default_factory=lambda: SitesWatch())
    warm_keys: bool = True
    troubles: list[AnyTrouble] = Field(default_factory=list)

    @model_validator(mode="after")
    def check_references(self):
        """Check that the troubles refer to existing members of the fleet, and the traffic to all classes."""
        for index, trouble in enumerate(self.troubles):
            if isinstance(trouble, SiteLoss) and trouble.site not in self.fleet.zones:
                raise ValueError(f"troubles.{index}.site: {trouble.site!r} is not among fleet.zones")
            for field, count in (
                ("workers", self.fleet.workers),
                ("manager", self.fleet.managers),
                ("managers", self.fleet.managers),
                ("proxy", self.fleet.proxies),
                ("balancer", self.fleet.balancers),
            ):
                value = getattr(trouble, field, None)
                if value is not None and max(value if isinstance(value, list) else [value]) >= count:
                    raise ValueError(f"troubles.{index}.{field}: there are only {count}")
        names = {settings.name for settings in self.classes}
        for field in ("shares", "work_ms"):
            if set(getattr(self.traffic, field)) != names:
                raise ValueError(f"traffic.{field}: the keys are not exactly the names of the classes")
        return self


@dataclass(frozen=True)
class WorkerSpec:
    """Settings of a stand-in worker; the fields of Fleet describe those with the same names."""

    name: str
    host: str
    port: int
    zone: str
    cell: int
    cores: int
    speed: float
    queue: int  # maximum number of queued transactions
    cold_share: float
    cold_us: int
    connection_us: int
    probe_us: int


def day_schema():
    """The JSON schema of a day."""
    return Day.model_json_schema()


def worker_specs(day, ports):
    """A WorkerSpec for each worker of a day; `ports` has one port for each."""
    fleet = day.fleet
    return [
        WorkerSpec(
            f"worker-{k}",
            "127.0.0.1",
            ports[k],
            fleet.zones[k % len(fleet.zones)],
            k % fleet.cells,
            fleet.cores,
            fleet.speeds[k % len(fleet.speeds)],
            fleet.queue,
            fleet.cold_share,
            round(fleet.cold_s * 1e6),
            fleet.connection_us,
            fleet.probe_us,
        )
        for k in range(fleet.workers)
    ]


def deployment(day, ports):
    """The DeploymentFile of a day.

    `ports` has lists of ports by purpose: "managers", "agents", "list" and, if managers speak SASP, "sasp".
    """
    fleet = day.fleet
    zone = lambda index: fleet.zones[index % len(fleet.zones)]  # noqa: E731
    return DeploymentFile(
        zones=fleet.zones,
        slices=day.slices,
        classes=day.classes,
        managers=[
            {
                "name": f"manager-{k}",
                "zone": zone(k),
                "listen": {"port": ports["managers"][k]},
                "sasp": {"port": ports["sasp"][k]} if "sasp" in ports else None,
            }
            for k in range(fleet.managers)
        ],
        proxies=[
            {
                "name": f"proxy-{k}",
                "zone": zone(k),
                "agent": {"port": ports["agents"][k]},
                "folder": f"proxy-{k}",
                "usual_per_s": day.traffic.per_s / fleet.proxies,
            }
            for k in range(fleet.proxies)
        ],
        worker_list={"listen": {"port": ports["list"][0]}, "wait_s": 2.0},
        store="store",
        channel=day.channel,
        rules=day.rules,
        reports=day.reports,
        custody=day.custody,
        warm_keys=day.warm_keys,
        flush=day.flush,
        deltas=day.deltas,
        sites=day.sites,
    )
