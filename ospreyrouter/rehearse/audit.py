"""Checks the five rules of a rehearsal against its journals, without access to the state of any manager.

`audit(day, rows)` takes the journal rows of all processes, in any order, and returns the account of the day. A rule is
reported as a number of checks and a number of violations; a rule without a single check has not been exercised.
"""

from bisect import bisect_right
from collections import defaultdict

SLACK_US = 50_000  # between an event and its row: one turn of the event loop, or one poll of the files


class StepFunction:
    """A value that changes at known times, in microseconds; changes are added in order of time."""

    def __init__(self):
        self.times, self.values = [], []

    def add(self, time_us, value):
        """Set the value from `time_us` on."""
        self.times.append(time_us)
        self.values.append(value)

    def value_at(self, time_us, default=None):
        """The value at `time_us`; `default` before the first change."""
        index = bisect_right(self.times, time_us)
        return self.values[index - 1] if index else default

    def last_change(self, time_us):
        """The time of the last change at or before `time_us`; None before the first."""
        index = bisect_right(self.times, time_us)
        return self.times[index - 1] if index else None


class RecordedDay:
    """Journal rows of a day in order of time and by event, with who had joined and who was in charge at each time.

    `joined` has a StepFunction of bool by (proxy, manager), `custody` one of the manager in charge by slice.
    """

    def __init__(self, day, rows):
        self.day, self.rows = day, sorted(rows, key=lambda row: row["t"])
        self.by_event = defaultdict(list)
        for row in self.rows:
            self.by_event[row["what"]].append(row)
        self.end_us = self.rows[-1]["t"] if self.rows else 0
        self.joined, self.custody = defaultdict(StepFunction), defaultdict(StepFunction)
        for row in self.rows:
            if row["what"] in ("joined_manager", "left_manager"):
                self.joined[row["proxy"], row["manager"]].add(row["t"], row["what"] == "joined_manager")
            elif row["what"] == "proxy_down":
                for (proxy, _), join_history in self.joined.items():
                    if proxy == row["proxy"]:
                        join_history.add(row["t"], False)
            elif row["what"] == "manager_down":
                for (_, manager), join_history in self.joined.items():
                    if manager == row["manager"]:
                        join_history.add(row["t"], False)
            elif row["what"] == "custody":
                for slice_index, owner in enumerate(row["owners"]):
                    if self.custody[slice_index].value_at(row["t"]) != owner:
                        self.custody[slice_index].add(row["t"], owner)
        self.factor = 1.0

    def responsible_manager(self, proxy, slice_index, time_us):
        """(manager, time since which it is both in charge of the slice and joined by the proxy), or (None, 0)."""
        manager = self.custody[slice_index].value_at(time_us)
        if manager is None or not self.joined[proxy, manager].value_at(time_us, False):
            return None, 0
        return manager, max(
            self.custody[slice_index].last_change(time_us), self.joined[proxy, manager].last_change(time_us)
        )


def audit(day, rows):
    """The account of a day: {"service", "transactions", "swaps", "rules": {name: {"checked", "broken"}}, ...}.

    `rows` are journal rows as dictionaries with "t" (us), "what" and the fields of the event. "broken" at the top has
    up to five descriptions of violations for each rule that has any.
    """
    recorded = RecordedDay(day, rows)
    files = recorded.by_event["files"][-1] if recorded.by_event["files"] else {"swaps": 0, "torn": 0}
    service, classes = measure_service(recorded)
    rules = {
        "no proxy without a worker": check_empty_tables(recorded),
        "no effect twice": check_duplicate_effects(recorded),
        "drains kept": check_drains(recorded),
        "no cold worker pushed over": check_cold_workers(recorded),
        "short queue": check_queue(recorded),
    }
    return {
        "service": round(service, 4),
        "transactions": len(recorded.by_event["transaction"]),
        "classes": classes,
        "swaps": files["swaps"],
        "torn_reads": files["torn"],
        "rules": {name: {"checked": checked, "broken": len(broken)} for name, (checked, broken) in rules.items()},
        "broken": {name: broken[:5] for name, (_, broken) in rules.items() if broken},
        "fell_over": len(recorded.by_event["fell over"]),
    }


def measure_service(recorded):
    """(fulfilled utility over requested utility, {class: counts of transactions by outcome})."""
    requested = fulfilled = 0.0
    classes = {}
    for row in recorded.by_event["transaction"]:
        settings = next(settings for settings in recorded.day.classes if settings.name == row["cls"])
        utility_share = 0.0
        if row["how"] == "answered":
            utility_share = 1.0 if row["took"] <= settings.quoted_s * 1e6 else settings.late_utility
        requested, fulfilled = requested + settings.utility, fulfilled + settings.utility * utility_share
        counts = classes.setdefault(settings.name, {"asked": 0, "in time": 0, "late": 0, "not": 0})
        counts["asked"] += 1
        counts["in time" if utility_share == 1 else "late" if row["how"] == "answered" else "not"] += 1
    return (fulfilled / requested if requested else 0.0), classes


def check_empty_tables(recorded):
    """(checks, violations): a joined proxy has a usable line for each slice while a warm worker is listed as ready.

    The time allowed is `rules.bare_s`, counted from when the table became empty, or from when the proxy had joined the
    manager in charge if that was later.
    """
    allowed_us, cold_us = recorded.day.rules.bare_s * 1e6, recorded.day.rules.cold_s * 1e6
    warm_listed = defaultdict(StepFunction)  # by manager
    for row in recorded.by_event["told"]:
        warm_listed[row["manager"]].add(
            row["t"], any(state == "ready" and (age is None or age >= cold_us) for _, state, age in row["rows"])
        )
    checked, broken, empty_since = 0, [], defaultdict(dict)
    last_row_us = {}
    # A row without empty slices at the end of the day closes the spans that are still open.
    for row in recorded.by_event["bare"] + [
        {"t": recorded.end_us, "proxy": name, "slices": []}
        for name in {row["proxy"] for row in recorded.by_event["bare"]}
    ]:
        proxy = row["proxy"]
        checked += row.get("of", 0)
        for slice_index, start in list(empty_since[proxy].items()):
            if slice_index not in row["slices"]:
                del empty_since[proxy][slice_index]
                manager, responsible_since = recorded.responsible_manager(proxy, slice_index, row["t"])
                start = max(start, responsible_since)
                if manager and warm_listed[manager].value_at(start) and row["t"] - start > allowed_us + SLACK_US:
                    broken.append(f"{proxy} slice {slice_index} for {(row['t'] - start) / 1e6:.2f} s")
        for slice_index in row["slices"]:
            empty_since[proxy].setdefault(slice_index, row["t"])
        last_row_us[proxy] = row["t"]
    return checked, broken


def check_duplicate_effects(recorded):
    """(checks, violations): one try of a client takes effect at most once, however often a proxy forwards it.

    Classes that are safe to repeat are left out.
    """
    unsafe = {settings.name for settings in recorded.day.classes if settings.repeat != "safe"}
    seen, broken, checked = set(), [], 0
    for row in recorded.by_event["effect"]:
        if row["cls"] in unsafe:
            checked += 1
            if row["attempt"] in seen:
                broken.append(f"{row['attempt']} at {row['worker']}")
            seen.add(row["attempt"])
    return checked, broken


def check_drains(recorded):
    """(checks, violations): a joined proxy sends nothing to a draining worker once the drain grace is over.

    The grace begins when the worker list reports the drain to the manager in charge, or when that manager becomes
    responsible for the proxy if that is later. Checks are counted as (manager, worker, proxy) triples.
    """
    drained, pairs, broken = defaultdict(StepFunction), set(), []
    states = defaultdict(dict)
    for row in recorded.by_event["told"]:
        listed = {name: state for name, state, _ in row["rows"]}
        previous = states[row["manager"]]
        for name in previous.keys() | listed.keys():
            state = listed.get(name, "gone")
            # A worker that leaves the list while draining remains drained. Whether one that leaves it without a drain
            # must be avoided as well depends on the rules of the day.
            must_avoid = (
                state == "draining"
                or state == "gone"
                and (recorded.day.rules.gone_binds or drained[row["manager"], name].value_at(row["t"], False))
            )
            if must_avoid != drained[row["manager"], name].value_at(row["t"], False):
                drained[row["manager"], name].add(row["t"], must_avoid)
        states[row["manager"]] = {name: listed.get(name, "gone") for name in previous.keys() | listed.keys()}
    grace_us = recorded.day.rules.drain_grace_s * 1e6
    for row in recorded.by_event["arrived"]:
        manager, responsible_since = recorded.responsible_manager(row["proxy"], row["slice"], row["sent"])
        if manager is None:
            continue
        worker_drained = drained[manager, row["worker"]]
        if worker_drained.values:
            pairs.add((manager, row["worker"], row["proxy"]))
        if worker_drained.value_at(row["sent"], False):
            late_us = row["sent"] - max(responsible_since, worker_drained.last_change(row["sent"])) - grace_us
            if late_us > SLACK_US:
                broken.append(f"{row['proxy']} to {row['worker']} {late_us / 1e6:.2f} s after the grace")
    return len(pairs), broken


def check_cold_workers(recorded):
    """(checks, violations): a cold worker is not sent more work than its budget, as far as managers knew of its start.

    The budget is `rules.fall_multiple` times what the worker can do within `rules.fall_s` at its present capacity. An
    excess counts if at least two thirds of the work was sent when the manager in charge knew of the start.
    """
    rules, checked, broken = recorded.day.rules, 0, []
    window_us, grace_us = rules.fall_s * 1e6, rules.drain_grace_s * 1e6
    cold_starts, arrivals, reported_starts = defaultdict(list), defaultdict(list), defaultdict(list)
    for row in recorded.by_event["started"]:
        if row["cold"]:
            cold_starts[row["worker"]].append(row)
    for row in recorded.by_event["arrived"]:
        arrivals[row["worker"]].append(row)
    for row in recorded.by_event["told"]:
        for name, _, age in row["rows"]:
            if age is not None:
                reported_starts[name, row["manager"]].append((row["t"], row["t"] - age))
    for name, starts in cold_starts.items():
        for start in starts:
            reported_until_us, recent = 0, []
            checked += 1  # a cold start counts as a check even if nothing is sent to the worker
            for row in arrivals[name]:
                if not start["t"] <= row["t"] < start["t"] + start["cold_us"]:
                    continue
                checked += 1
                manager = recorded.custody[row["slice"]].value_at(row["sent"])
                # The start counts as known if it was reported to the manager in charge before the transaction was sent.
                known = any(
                    reported_us + min(grace_us, 0) <= row["sent"] and started_us >= start["t"] - SLACK_US
                    for reported_us, started_us in reported_starts[name, manager]
                )
                recent.append((row["t"], row["work"], known))
                recent = [arrival for arrival in recent if arrival[0] > row["t"] - window_us]
                ramp = min(1.0, (row["t"] - start["t"]) / start["cold_us"])
                capacity = start["capacity"] * (start["cold_share"] + (1 - start["cold_share"]) * ramp) * window_us
                total = sum(arrival[1] for arrival in recent)
                if (
                    total > rules.fall_multiple * capacity
                    and sum(arrival[1] for arrival in recent if arrival[2]) * 3 >= 2 * total
                    and row["t"] > reported_until_us
                ):
                    reported_until_us = row["t"] + window_us
                    broken.append(f"{name}: {total / capacity:.1f} times its capacity")
    return checked, broken


def check_queue(recorded):
    """(checks, violations): the lines ordered by a manager that have not reached the proxies stay below the limit.

    The limit is `channel.queue_lines`; a push whose row lacks its time of order or its lines is a violation, too.
    """
    changes, checked, broken = defaultdict(list), 0, []
    for row in recorded.by_event["pushed"]:
        if row.get("ordered") is None or row.get("lines") is None:
            broken.append(f"{row['manager']}: a push without its time of order or its lines")
            continue
        checked += 1
        changes[row["manager"]] += [(int(row["ordered"]), float(row["lines"])), (row["t"], -float(row["lines"]))]
    limit = recorded.day.channel.queue_lines
    for manager, manager_changes in changes.items():
        waiting = longest = 0.0
        for _, lines in sorted(manager_changes):
            waiting += lines
            longest = max(longest, waiting)
        if longest > limit:
            broken.append(f"{manager}: {longest:.0f} lines waited, {limit:.0f} are allowed")
    return checked, broken
