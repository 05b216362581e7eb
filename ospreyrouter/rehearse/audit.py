"""The brief's five rules, checked from what passed on the sockets and stood in the files. Knows no manager's state.

`audit(day, rows)` takes journal rows of all processes, in any order, and returns the account of the day.
"""

from bisect import bisect_right
from collections import defaultdict

SLACK_US = 50_000  # between a moment and its row: a turn of the loop, a look at the files


class Steps:
    """A value that changes at known times."""

    def __init__(self):
        self.times, self.values = [], []

    def add(self, t, value):
        self.times.append(t)
        self.values.append(value)

    def at(self, t, default=None):
        place = bisect_right(self.times, t)
        return self.values[place - 1] if place else default

    def since(self, t):
        place = bisect_right(self.times, t)
        return self.times[place - 1] if place else None


class Account:
    """What the rows say, sorted out by who said it."""

    def __init__(self, day, rows):
        self.day, self.rows = day, sorted(rows, key=lambda row: row["t"])
        self.by = defaultdict(list)
        for row in self.rows:
            self.by[row["what"]].append(row)
        self.end = self.rows[-1]["t"] if self.rows else 0
        self.joined, self.custody = defaultdict(Steps), defaultdict(Steps)
        for row in self.rows:
            if row["what"] in ("joined_manager", "left_manager"):
                self.joined[row["proxy"], row["manager"]].add(row["t"], row["what"] == "joined_manager")
            elif row["what"] == "proxy_down":
                for (proxy, _), steps in self.joined.items():
                    if proxy == row["proxy"]:
                        steps.add(row["t"], False)
            elif row["what"] == "manager_down":
                for (_, manager), steps in self.joined.items():
                    if manager == row["manager"]:
                        steps.add(row["t"], False)
            elif row["what"] == "custody":
                for item, owner in enumerate(row["owners"]):
                    if self.custody[item].at(row["t"]) != owner:
                        self.custody[item].add(row["t"], owner)
        self.factor = 1.0

    def covered(self, proxy, item, t):
        """(manager in charge, since when this proxy is bound to it for this slice), or (None, 0)."""
        manager = self.custody[item].at(t)
        if manager is None or not self.joined[proxy, manager].at(t, False):
            return None, 0
        return manager, max(self.custody[item].since(t), self.joined[proxy, manager].since(t))


def audit(day, rows):
    """{"service", "transactions", "swaps", "torn_reads", "rules": {name: {"checked", "broken"}}, ...}."""
    account = Account(day, rows)
    files = account.by["files"][-1] if account.by["files"] else {"swaps": 0, "torn": 0}
    service, classes = served(account)
    rules = {
        "no proxy without a worker": never_bare(account),
        "no effect twice": no_effect_twice(account),
        "drains kept": drains_kept(account),
        "no cold worker pushed over": none_pushed_over(account),
        "short queue": short_queue(account),
    }
    return {
        "service": round(service, 4),
        "transactions": len(account.by["transaction"]),
        "classes": classes,
        "swaps": files["swaps"],
        "torn_reads": files["torn"],
        "rules": {name: {"checked": checked, "broken": len(broken)} for name, (checked, broken) in rules.items()},
        "broken": {name: broken[:5] for name, (_, broken) in rules.items() if broken},
        "fell_over": len(account.by["fell over"]),
    }


def served(account):
    asked = fulfilled = 0.0
    classes = {}
    for row in account.by["transaction"]:
        kind = next(kind for kind in account.day.classes if kind.name == row["cls"])
        part = 0.0
        if row["how"] == "answered":
            part = 1.0 if row["took"] <= kind.quoted_s * 1e6 else kind.late_utility
        asked, fulfilled = asked + kind.utility, fulfilled + kind.utility * part
        one = classes.setdefault(kind.name, {"asked": 0, "in time": 0, "late": 0, "not": 0})
        one["asked"] += 1
        one["in time" if part == 1 else "late" if row["how"] == "answered" else "not"] += 1
    return (fulfilled / asked if asked else 0.0), classes


def never_bare(account):
    """No joined proxy lacks a line to pick for a slice while a warm worker is listed as ready."""
    bare_us, cold_us = account.day.rules.bare_s * 1e6, account.day.rules.cold_s * 1e6
    warm = defaultdict(Steps)
    for row in account.by["told"]:
        warm[row["manager"]].add(
            row["t"], any(state == "ready" and (age is None or age >= cold_us) for _, state, age in row["rows"])
        )
    checked, broken, since = 0, [], defaultdict(dict)
    last = {}
    for row in account.by["bare"] + [
        {"t": account.end, "proxy": name, "slices": []} for name in {row["proxy"] for row in account.by["bare"]}
    ]:
        proxy = row["proxy"]
        checked += row.get("of", 0)
        for item, start in list(since[proxy].items()):
            if item not in row["slices"]:
                del since[proxy][item]
                manager, bound = account.covered(proxy, item, row["t"])
                start = max(start, bound)
                if manager and warm[manager].at(start) and row["t"] - start > bare_us + SLACK_US:
                    broken.append(f"{proxy} slice {item} for {(row['t'] - start) / 1e6:.2f} s")
        for item in row["slices"]:
            since[proxy].setdefault(item, row["t"])
        last[proxy] = row["t"]
    return checked, broken


def no_effect_twice(account):
    """What a proxy sent on for one try of a client took effect once; classes safe to repeat aside."""
    unsafe = {kind.name for kind in account.day.classes if kind.repeat != "safe"}
    seen, broken, checked = set(), [], 0
    for row in account.by["effect"]:
        if row["cls"] in unsafe:
            checked += 1
            if row["attempt"] in seen:
                broken.append(f"{row['attempt']} at {row['worker']}")
            seen.add(row["attempt"])
    return checked, broken


def drains_kept(account):
    """After the grace since its manager was told, a joined proxy sends nothing to a worker that drains."""
    told, pairs, broken = defaultdict(Steps), set(), []
    states = defaultdict(dict)
    for row in account.by["told"]:
        now = {name: state for name, state, _ in row["rows"]}
        held = states[row["manager"]]
        for name in held.keys() | now.keys():
            state = now.get(name, "gone")
            # One that drained and then left the list has drained; one that only left it may not bind.
            bound = (
                state == "draining"
                or state == "gone"
                and (account.day.rules.gone_binds or told[row["manager"], name].at(row["t"], False))
            )
            if bound != told[row["manager"], name].at(row["t"], False):
                told[row["manager"], name].add(row["t"], bound)
        states[row["manager"]] = {name: now.get(name, "gone") for name in held.keys() | now.keys()}
    grace = account.day.rules.drain_grace_s * 1e6
    for row in account.by["arrived"]:
        manager, bound = account.covered(row["proxy"], row["slice"], row["sent"])
        if manager is None:
            continue
        steps = told[manager, row["worker"]]
        if steps.values:
            pairs.add((manager, row["worker"], row["proxy"]))
        if steps.at(row["sent"], False):
            late = row["sent"] - max(bound, steps.since(row["sent"])) - grace
            if late > SLACK_US:
                broken.append(f"{row['proxy']} to {row['worker']} {late / 1e6:.2f} s after the grace")
    return len(pairs), broken


def none_pushed_over(account):
    """What is sent to a cold worker stays under its budget, as far as managers knew of its start."""
    rules, checked, broken = account.day.rules, 0, []
    window, grace = rules.fall_s * 1e6, rules.drain_grace_s * 1e6
    starts, arrivals, knew = defaultdict(list), defaultdict(list), defaultdict(list)
    for row in account.by["started"]:
        if row["cold"]:
            starts[row["worker"]].append(row)
    for row in account.by["arrived"]:
        arrivals[row["worker"]].append(row)
    for row in account.by["told"]:
        for name, _, age in row["rows"]:
            if age is not None:
                knew[name, row["manager"]].append((row["t"], row["t"] - age))
    for name, lives in starts.items():
        for life in lives:
            over_at, sent = 0, []
            checked += 1  # a cold start that is sent nothing was looked at all the same
            for row in arrivals[name]:
                if not life["t"] <= row["t"] < life["t"] + life["cold_us"]:
                    continue
                checked += 1
                manager = account.custody[row["slice"]].at(row["sent"])
                # Sent knowing of the start, if the manager in charge was told of it before.
                known = any(
                    t + min(grace, 0) <= row["sent"] and started >= life["t"] - SLACK_US
                    for t, started in knew[name, manager]
                )
                sent.append((row["t"], row["work"], known))
                sent = [one for one in sent if one[0] > row["t"] - window]
                ramp = min(1.0, (row["t"] - life["t"]) / life["cold_us"])
                able = life["capacity"] * (life["cold_share"] + (1 - life["cold_share"]) * ramp) * window
                total = sum(one[1] for one in sent)
                if (
                    total > rules.fall_multiple * able
                    and sum(one[1] for one in sent if one[2]) * 3 >= 2 * total
                    and row["t"] > over_at
                ):
                    over_at = row["t"] + window
                    broken.append(f"{name}: {total / able:.1f} times what it can do")
    return checked, broken


def short_queue(account):
    """Lines ordered and not yet arrived at proxies, by manager, against the limit of waiting lines."""
    moves, checked, broken = defaultdict(list), 0, []
    for row in account.by["pushed"]:
        if row.get("ordered") is None or row.get("lines") is None:
            broken.append(f"{row['manager']}: a push without its times")
            continue
        checked += 1
        moves[row["manager"]] += [(int(row["ordered"]), float(row["lines"])), (row["t"], -float(row["lines"]))]
    limit = account.day.channel.queue_lines
    for manager, rows in moves.items():
        waiting = longest = 0.0
        for _, lines in sorted(rows):
            waiting += lines
            longest = max(longest, waiting)
        if longest > limit:
            broken.append(f"{manager}: {longest:.0f} lines waited, {limit:.0f} are allowed")
    return checked, broken
