"""What a manager is given at start, and where it writes its orders.

Nothing here decides anything or knows a wire. Times are whole microseconds; workers, proxies, slices,
classes and zones are small indices given out by whoever hosts the manager.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol


class Repeat(Enum):
    """What may follow a try that may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    NEVER = "never"


class State(IntEnum):
    """What the list says of a worker."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Outcome(Enum):
    """How a probe ended."""

    PASSED = "passed"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"


class Retry(IntEnum):
    """How a proxy tries again."""

    NONE = 0
    PROVEN = 1  # once, elsewhere, after proof that the first try never ran
    ONCE = 2  # once after any failure
    TWICE = 3


class LevelKind(Enum):
    """What a level counts."""

    SHARE = "share"
    RATE = "rate"
    NONE = "none"


ALL_TABLES = 65535


@dataclass(frozen=True)
class TransactionClass:
    """One class of transactions."""

    name: str
    quoted_us: int
    timeout_us: int
    utility: float
    late_utility: float
    repeat: Repeat
    dedup_scope: str
    dedup_us: int
    writes: bool
    local: bool


@dataclass(frozen=True)
class Entry:
    """A worker as the list has it."""

    worker: int
    zone: int
    kind: int
    cell: int
    state: State
    weight: float
    started_us: int | None


@dataclass(frozen=True)
class Deployment:
    """What a manager reads at start."""

    me: int
    managers: int
    zone: int
    zones: tuple[str, ...]
    classes: tuple[TransactionClass, ...]
    slices: int
    proxies: int
    single_owner: bool
    lists_on_request: bool
    ask_within_us: int
    probes_allowed: bool
    peers_allowed: bool
    weights_listed: bool
    report_period_us: int
    reports_per_s: float
    lines_per_s: float
    message_head: float
    queue_lines: float
    messages_most: int
    messages_over_us: int
    transit_us: int
    transit_most_us: int
    bare_us: int
    settle_us: int
    lease_us: int
    level_kind: LevelKind
    usual_retry: Retry
    try_factor: float
    cold_share: float
    cold_us: int
    fall_multiple: float
    fall_us: int
    grace_us: int
    gone_binds: bool
    full_may_have_run: bool
    warm_keys: bool


class Orders(Protocol):
    """Where a manager writes its decisions; they take effect in the order written."""

    def line(self, table: int, worker: int, weight: float) -> None: ...
    def wipe(self, table: int) -> None: ...
    def bind(self, proxy: int, table: int, classes: int) -> None: ...
    def withhold(self, worker: int, out: bool) -> None: ...
    def level(self, table: int, classes: int, amount: float, retry: Retry) -> None: ...
    def mark(self, number: int, everyone: bool) -> None: ...
    def probe(self, worker: int) -> None: ...
    def wake(self, after_us: int, token: int) -> None: ...
    def tell(self, manager: int | None, text: str) -> None: ...
    def follow_list(self, on: bool) -> None: ...
    def fetch_list(self) -> None: ...
    def log(self, text: str) -> None: ...
