"""Types shared by the policy of a manager and the processes that host it.

A host gives `policy.Manager` a `Deployment` at start and, once a round, a list of events and an `Orders` object that
takes the decisions. This module makes no decision and knows no wire format.

Times and durations are whole microseconds (suffix `_us`). Workers, proxies, slices, classes and zones are small
non-negative indices assigned by the host.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol


class RepeatPolicy(Enum):
    """Whether a transaction may be tried again after a try that may have been executed."""

    SAFE = "safe"  # always: it is idempotent
    DEDUPLICATED = "keyed"  # within the scope and time in which workers drop duplicates by key
    NEVER = "never"


class WorkerState(IntEnum):
    """State of a worker in the worker list."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ProbeOutcome(Enum):
    """Result of a probe."""

    PASSED = "passed"
    ERROR = "error"
    FULL = "full"  # refused for lack of room
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection
    RESET = "reset"  # the connection broke before the answer
    CANCELLED = "cancelled"


class RetryPolicy(IntEnum):
    """How often and when a proxy tries a failed transaction again."""

    NONE = 0
    IF_NOT_RUN = 1  # once, on another worker, after proof that the first try was not executed
    ONCE = 2  # once, after any failure
    TWICE = 3  # twice, after any failure


class LevelKind(Enum):
    """Unit of admission levels."""

    SHARE = "share"  # share of the transactions that proxies admit
    RATE = "rate"  # admitted transactions per second
    NONE = "none"  # proxies do not apply levels


ALL_TABLES = 65535  # as the `table` of Orders.set_level: the level applies to every table


@dataclass(frozen=True)
class TransactionClass:
    """A class of transactions."""

    name: str
    quoted_us: int  # an answer within this time earns the whole utility
    timeout_us: int  # a client waits this long in all, over every try
    utility: float  # of one transaction answered in time
    late_utility: float  # share of the utility earned by an answer after `quoted_us`
    repeat: RepeatPolicy
    dedup_scope: str  # which workers drop a duplicate: "all", "zone" or "cell"
    dedup_us: int  # how long they recognize it
    writes: bool
    local: bool


@dataclass(frozen=True)
class WorkerEntry:
    """A worker in the worker list."""

    worker: int
    zone: int
    kind: int  # index of the server kind
    cell: int
    state: WorkerState
    weight: float
    started_us: int | None  # None: the list gives no start time


@dataclass(frozen=True)
class Deployment:
    """Parameters of a manager, fixed from its start on."""

    manager_index: int  # of this manager
    manager_count: int
    zone: int  # of this manager
    zones: tuple[str, ...]
    classes: tuple[TransactionClass, ...]
    slice_count: int  # 0: no slices, each proxy has one table for all of its transactions
    proxy_count: int
    single_owner: bool  # whether a slice has exactly one server
    lists_on_request: bool  # whether the worker list has to be requested, instead of being pushed
    list_request_deadline_us: int
    probes_allowed: bool
    peers_allowed: bool  # whether managers may send messages to each other
    weights_listed: bool  # whether the worker list gives the weights of workers
    report_period_us: int  # between two load reports of a proxy
    reports_per_s: float
    lines_per_s: float  # rate at which the channel drains
    message_head: float  # lines that each message counts besides its own, per proxy
    queue_lines: float  # capacity of the channel's queue
    max_messages: int  # to one proxy within `message_window_us`; 0: no limit
    message_window_us: int
    transit_us: int  # mean time from leaving the channel until a message takes effect at a proxy
    max_transit_us: int
    max_empty_table_us: int  # how long a joined proxy may lack a usable line for a slice
    max_in_flight_us: int  # longest time a transaction may be in flight
    lease_us: int
    level_kind: LevelKind
    default_retry: RetryPolicy  # applied by proxies until a level says otherwise
    try_factor: float
    cold_share: float  # minimum share of its capacity that a worker has right after its start
    cold_us: int  # maximum time from its start until a worker is warm
    overload_multiple: float  # load, as a multiple of its present capacity, that a cold worker must not get
    overload_us: int  # for this long
    drain_grace_us: int  # after this time a draining worker must not get new transactions
    removal_counts_as_drain: bool  # whether leaving the worker list obliges as draining does
    full_may_have_run: bool  # whether a refusal for lack of room may follow a partial execution
    warm_keys: bool  # whether a worker is faster on keys that it has served recently


class Orders(Protocol):
    """Receives the decisions of a manager, which take effect in the order of the calls.

    `classes` is a bit mask of class indices; 0 means all classes.
    """

    def set_weight(self, table: int, worker: int, weight: float) -> None:
        """Set the weight of a worker in the table of a slice; 0 removes its line."""
        ...

    def clear_table(self, table: int) -> None:
        """Remove all lines of a table."""
        ...

    def bind_proxy(self, proxy: int, table: int, classes: int) -> None:
        """Have a proxy use a table for the given classes, in deployments without slices."""
        ...

    def set_withheld(self, worker: int, withheld: bool) -> None:
        """Withdraw a worker from all tables of all proxies, or let it in again; the tables themselves stay."""
        ...

    def set_level(self, table: int, classes: int, amount: float, retry: RetryPolicy) -> None:
        """Set the admission level (in the unit of `Deployment.level_kind`) and the retry policy of classes.

        `table` may be ALL_TABLES.
        """
        ...

    def send_mark(self, number: int, all_proxies: bool) -> None:
        """Add a mark, which proxies acknowledge once all earlier orders are in force.

        It goes to all proxies, or only to those that earlier orders of the message concern.
        """
        ...

    def probe(self, worker: int) -> None:
        """Probe a worker; the outcome arrives as an event."""
        ...

    def schedule_wake(self, after_us: int, token: int) -> None:
        """Ask for a wake-up event with this token."""
        ...

    def send_to_manager(self, manager: int | None, text: str) -> None:
        """Send a text to another manager, or with None to all of them."""
        ...

    def follow_list(self, enabled: bool) -> None:
        """Start or stop following changes of the worker list."""
        ...

    def fetch_list(self) -> None:
        """Request the whole worker list once."""
        ...

    def log(self, text: str) -> None:
        """Write a line of debugging text."""
        ...
