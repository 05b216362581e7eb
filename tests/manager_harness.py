"""Helpers for tests of the manager: a small deployment, a recorder of its orders, and a harness for events."""

from ospreyrouter.interface import (
    Deployment,
    LevelKind,
    RepeatPolicy,
    RetryPolicy,
    TransactionClass,
    WorkerEntry,
    WorkerState,
)
from ospreyrouter.policy import Manager

SECOND = 1_000_000
READY, DRAINING, GONE = WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE


def transaction_class(name="look-up", quoted=1.0, utility=1.0, repeat=RepeatPolicy.SAFE):
    """A class of transactions; `quoted` is its quoted time in seconds, and its timeout is three times as long."""
    return TransactionClass(
        name, int(quoted * SECOND), int(3 * quoted * SECOND), utility, 0.1, repeat, "cell", 4 * SECOND, False, False
    )


def deployment(**changes):
    """A deployment of 8 slices and 4 proxies with these fields changed."""
    values = dict(
        manager_index=0,
        manager_count=1,
        zone=0,
        zones=("a", "b"),
        slice_count=8,
        proxy_count=4,
        single_owner=False,
        lists_on_request=False,
        classes=(transaction_class(), transaction_class("purchase", 2.0, 3.0, RepeatPolicy.NEVER)),
        list_request_deadline_us=0,
        probes_allowed=True,
        peers_allowed=False,
        weights_listed=False,
        report_period_us=SECOND // 2,
        reports_per_s=200.0,
        lines_per_s=2000.0,
        message_head=8.0,
        queue_lines=4000.0,
        max_messages=0,
        message_window_us=10 * SECOND,
        transit_us=SECOND // 5,
        max_transit_us=SECOND // 2,
        max_empty_table_us=2 * SECOND,
        max_in_flight_us=4 * SECOND,
        lease_us=0,
        level_kind=LevelKind.SHARE,
        default_retry=RetryPolicy.IF_NOT_RUN,
        try_factor=1.2,
        cold_share=0.2,
        cold_us=16 * SECOND,
        overload_multiple=3.0,
        overload_us=SECOND,
        drain_grace_us=2 * SECOND,
        removal_counts_as_drain=True,
        full_may_have_run=False,
        warm_keys=True,
    )
    return Deployment(**values | changes)


def entry(worker, state=READY, started=None, weight=1.0, kind=0):
    """An entry of the worker list; `started` in microseconds."""
    return WorkerEntry(worker, 0, kind, 0, state, weight, started)


class RecordedOrders:
    """Records each order as a tuple, and the tables that result from the orders."""

    def __init__(self):
        self.orders, self.tables = [], {}

    def __getattr__(self, name):
        def record(*values):
            self.orders.append((name, *values))
            if name == "set_weight":
                slice_index, worker, weight = values
                table = self.tables.setdefault(slice_index, {})
                table.pop(worker, None) if weight == 0 else table.update({worker: weight})

        return record

    def named(self, name):
        """The arguments of all orders with this name."""
        return [order[1:] for order in self.orders if order[0] == name]


class ManagerHarness:
    """A manager in operation whose proxies acknowledge each message at once.

    It starts at `start` microseconds with `workers` ready workers, `proxies` of `total_proxies` joined and all slices
    owned. `tables`: {slice: {worker: weight}}; a slice without an entry is on one worker. `entries` replaces the worker
    list. `rate`: tries per second that each proxy states as usual. `changes` are fields of the deployment.
    """

    def __init__(
        self,
        workers=4,
        proxies=4,
        total_proxies=4,
        seed=1,
        start=100 * SECOND,
        tables=None,
        entries=None,
        rate=80.0,
        **changes,
    ):
        self.setup, self.recorded, self.now = deployment(proxy_count=total_proxies, **changes), RecordedOrders(), start
        self.manager = Manager(self.setup, seed)
        events = [("worker_list_received", True, entries or [entry(index) for index in range(workers)])]
        for slice_index in range(self.setup.slice_count):
            events.append(("slice_ownership_changed", slice_index, True))
            for worker, weight in (tables or {}).get(slice_index, {slice_index % workers: 1.0}).items():
                events.append(("table_line_loaded", slice_index, worker, weight))
                self.recorded.tables.setdefault(slice_index, {})[worker] = weight
        self.round(*events, *(("proxy_joined", proxy, 0, rate, True) for proxy in range(proxies)))

    def round(self, *events, after=0.0):
        """Play one round `after` seconds with these events; all proxies acknowledge all marks."""
        self.now += int(after * SECOND)
        self.manager.round(self.now, list(events), self.recorded)
        for number, _ in self.recorded.named("send_mark"):
            for proxy in self.manager.proxies:
                self.manager.mark_acknowledged(proxy, number, 0)
        return self.recorded

    def run(self, seconds, demand=None, tries=None, extra_events=None):
        """Play rounds of half a second, each with the same reports.

        `demand`: {slice: tries}; `tries`: {worker: (tries, lost tries, delay in seconds)}; `extra_events`: more events.
        """
        for _ in range(int(seconds * 2)):
            events = [("demand_reported", index, 0, count, 0, SECOND // 2) for index, count in (demand or {}).items()]
            for worker, (tried, lost, delay) in (tries or {}).items():
                events.append(("tries_reported", 0, worker, tried, lost, int(delay * SECOND), SECOND // 2, {}))
            self.round(*events, *(extra_events or []), after=0.5)
        return self.recorded

    def load(self, demand):
        """Returns {worker: load} that the tables send to each worker for this demand, {slice: tries}."""
        sums = {}
        for slice_index, count in demand.items():
            table = self.recorded.tables.get(slice_index, {})
            for worker, weight in table.items():
                sums[worker] = sums.get(worker, 0.0) + count * weight / sum(table.values())
        return sums
