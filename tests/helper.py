"""A small deployment, a writer that keeps what was ordered, and a manager fed by hand."""

from ospreyrouter.interface import Deployment, Entry, LevelKind, Repeat, Retry, State, TransactionClass
from ospreyrouter.policy import Manager

SECOND = 1_000_000
READY, DRAINING, GONE = State.READY, State.DRAINING, State.GONE


def kind(name="look-up", quoted=1.0, utility=1.0, repeat=Repeat.SAFE):
    return TransactionClass(
        name, int(quoted * SECOND), int(3 * quoted * SECOND), utility, 0.1, repeat, "cell", 4 * SECOND, False, False
    )


def deployment(**other):
    values = dict(
        me=0,
        managers=1,
        zone=0,
        zones=("a", "b"),
        slices=8,
        proxies=4,
        single_owner=False,
        lists_on_request=False,
        classes=(kind(), kind("purchase", 2.0, 3.0, Repeat.NEVER)),
        ask_within_us=0,
        probes_allowed=True,
        peers_allowed=False,
        weights_listed=False,
        report_period_us=SECOND // 2,
        reports_per_s=200.0,
        lines_per_s=2000.0,
        message_head=8.0,
        queue_lines=4000.0,
        messages_most=0,
        messages_over_us=10 * SECOND,
        transit_us=SECOND // 5,
        transit_most_us=SECOND // 2,
        bare_us=2 * SECOND,
        settle_us=4 * SECOND,
        lease_us=0,
        level_kind=LevelKind.SHARE,
        usual_retry=Retry.PROVEN,
        try_factor=1.2,
        cold_share=0.2,
        cold_us=16 * SECOND,
        fall_multiple=3.0,
        fall_us=SECOND,
        grace_us=2 * SECOND,
        gone_binds=True,
        full_may_have_run=False,
        warm_keys=True,
    )
    return Deployment(**values | other)


def entry(worker, state=READY, started=None, weight=1.0, kind=0):
    return Entry(worker, 0, kind, 0, state, weight, started)


class Sheet:
    """Keeps each order as a tuple, and the tables that the orders make."""

    def __init__(self):
        self.orders, self.tables = [], {}

    def __getattr__(self, name):
        def write(*values):
            self.orders.append((name, *values))
            if name == "line":
                item, worker, weight = values
                table = self.tables.setdefault(item, {})
                table.pop(worker, None) if weight == 0 else table.update({worker: weight})

        return write

    def all(self, name):
        return [order[1:] for order in self.orders if order[0] == name]


class Stand:
    """A manager in the middle of its day, with `workers` ready and every slice on one of them."""

    def __init__(
        self, workers=4, proxies=4, proxies_in_all=4, seed=1, start=100 * SECOND, tables=None, entries=None, **other
    ):
        self.setup, self.sheet, self.now = deployment(proxies=proxies_in_all, **other), Sheet(), start
        self.manager = Manager(self.setup, seed)
        intake = [("listed", True, entries or [entry(w) for w in range(workers)])]
        for item in range(self.setup.slices):
            intake.append(("charged", item, True))
            for worker, weight in (tables or {}).get(item, {item % workers: 1.0}).items():
                intake.append(("stored", item, worker, weight))
                self.sheet.tables.setdefault(item, {})[worker] = weight
        self.round(*intake, *(("joined", proxy, 0, 5.0, True) for proxy in range(proxies)))

    def round(self, *intake, after=0.0):
        self.now += int(after * SECOND)
        self.manager.round(self.now, list(intake), self.sheet)
        for number, _ in self.sheet.all("mark"):
            for proxy in self.manager.proxies:
                self.manager.applied(proxy, number, 0)
        return self.sheet

    def run(self, seconds, demand=None, met=None, each=None):
        """Half-second rounds; `demand` by slice and `met` by worker as (tries, lost, delay in s) a round."""
        for _ in range(int(seconds * 2)):
            intake = [("demanded", item, 0, count, 0, SECOND // 2) for item, count in (demand or {}).items()]
            for worker, (tries, lost, delay) in (met or {}).items():
                intake.append(("met", 0, worker, tries, lost, int(delay * SECOND), SECOND // 2, {}))
            self.round(*intake, *(each or []), after=0.5)
        return self.sheet

    def load(self, demand):
        """What the tables send to each worker."""
        sums = {}
        for item, count in demand.items():
            table = self.sheet.tables.get(item, {})
            for worker, weight in table.items():
                sums[worker] = sums.get(worker, 0.0) + count * weight / sum(table.values())
        return sums
