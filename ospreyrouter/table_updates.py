"""Decides which lines of tables a message to the proxies carries, and which servers it readmits.

What keeps slices served while tables change is in `coverage.py`, what is due in `pending_updates.py`. No I/O.
"""

from dataclasses import replace

from .coverage import EPSILON, differs, plan_readmission, plan_removals, safe_target, update_table
from .interface import RetryPolicy
from .packing import rendezvous_server
from .pending_updates import TableChange

# Retry policy for every class: a try that may have run is never repeated. Repeating even idempotent tries would double
# the load during an overload.
RETRY_POLICY = RetryPolicy.IF_NOT_RUN
LINGER_WEIGHT = 0.01  # weight of a lingering replica: enough for retries, too small to count as load


class TableUpdates:
    """The part of a manager that changes its tables; base class of `ProxyMessages`. The state is in `policy.Manager`.

    Reading order: the tables as planned and how they differ, removals, readmissions, the lines that are written.
    """

    def target_table(self, slice_index):
        """The table that a slice is to have: {server: weight}, its lingering replica included."""
        lines = dict(self.layout[slice_index])
        if self.lingering.get(slice_index) is not None:
            lines.setdefault(self.lingering[slice_index], LINGER_WEIGHT)
        return lines

    def collect_table_changes(self, pending, capacity):
        """The TableChange of each table that is not as it is to be, the most urgent first."""
        changes = [self.table_change(slice_index, pending, capacity) for slice_index in pending.target_tables]
        changes = sorted((change for change in changes if change), key=lambda change: change.sort_key)
        # A table with few usable servers first gets only one line. The rest follows as a change that can wait.
        partly = [change for change in changes if not change.well_served]
        return changes + [replace(change, can_wait=True, half_left=True) for change in partly]

    def table_change(self, slice_index, pending, capacity):
        """How a table differs from the one it is to be, as a TableChange; None if it does not."""
        table, usable = self.tables[slice_index], pending.usable
        if slice_index in self.former_owners(pending.lost) and not self.may_name_owner(slice_index):
            return None
        lines, cold_servers = self.next_target(slice_index, pending), usable - pending.warm
        left, cold = (sum(table[server] for server in sorted(table.keys() & group)) for group in (usable, cold_servers))
        # Lines of lost servers are withdrawn already and only have to be removed, so they count little. Slices that
        # lost most of their weight come first.
        difference = sum(
            abs(lines.get(server, 0) - table.get(server, 0)) * (1.0 if server in capacity else LINGER_WEIGHT)
            for server in sorted(table.keys() | lines.keys())
        )
        # A table without a usable server needs one, even if it is as planned.
        if difference <= EPSILON and (table.keys() & usable or not usable):
            return None
        load, half_left = self.planned_demand.get(slice_index, 1.0), left >= 0.5 * sum(table.values())
        # A slice of which mostly cold servers are left, which were planned for a small part of it, is as urgent as one
        # without servers.
        is_small = load <= self.mean_load and slice_index not in self.unknown_demand
        enough_left = bool(table.keys() & usable) and (half_left or cold <= 0.5 * left or is_small)
        if not usable:  # no change of a table gives its slice a server; readmissions do
            enough_left = half_left = True
        return TableChange(slice_index, difference * load, enough_left, half_left)

    def former_owners(self, lost):
        """{slice: owner} of the slices with a single owner that is among `lost` and must not be used."""
        if self.handovers is None:
            return {}
        return {
            slice_index: server
            for slice_index in sorted(self.owned_slices)
            for server in self.tables[slice_index]
            if server in lost
        }

    def may_name_owner(self, slice_index):
        """Whether a slice with a single owner, which is lost, may get the next one."""
        return self.handovers.may_name_owner(self.now, slice_index, self.owned_since.get(slice_index, 0))

    def write_slice_levels(self, pending, budget, draft):
        """Order the levels of slices with a single owner: 0 from its withdrawal until the next one is named."""
        if self.handovers is None:
            return
        message = self.withdrawals.message_count + 1
        former_owners = self.former_owners(pending.lost)
        for slice_index, level in self.handovers.due_levels(sorted(self.owned_slices), former_owners):
            if not budget.fits(draft.lines, draft.lines + 1, urgent=not level):
                return
            draft.lines += 1
            self.orders.set_level(slice_index, 0, level, RETRY_POLICY)
            self.handovers.record_level(slice_index, level, message)

    def removals(self, pending):
        """The lines of lost servers that can be removed from the tables, as a list of TableLine."""
        if self.setup.single_owner:
            return []
        tables = {slice_index: self.tables[slice_index] for slice_index in pending.target_tables}
        return plan_removals(tables, pending.lost, pending.usable)

    def removal_room(self, budget, draft):
        """Lines at each proxy by which a message may grow for removals."""
        if self.withdrawals.repeats_expected(self.now):
            return int(budget.repair_room(draft.lines))
        return int(budget.ordinary_room(draft.lines))

    def removals_come_first(self, pending, state):
        """Whether some removals go before changes of tables that can wait.

        Each lost server that tables name adds a line to every repeat of withdrawals. So removals come first while
        proxies join, and before that if repeats would be longer than half of a message's head.
        """
        return self.withdrawals.proxies_join(self.now) or 2 * len(pending.lost) > state.head

    def write_removals(self, pending, budget, draft, max_lines):
        """Remove lost servers from the tables, as their withdrawals have to be repeated while these name them.

        Otherwise repeats for proxies that keep joining fill the channel, so that no table finds room and the servers
        stay named.
        """
        is_urgent = self.withdrawals.repeats_expected(self.now)
        for line in self.removals(pending)[:max_lines]:
            if not budget.fits(draft.lines, draft.lines + 1, is_urgent):
                return
            draft.lines += 1
            draft.has_repairs |= is_urgent
            self.write_lines(line.table, {line.server: 0})

    def write_readmissions(self, pending, budget, draft):
        """Readmit ready servers, those first that take the fewest lines.

        A server that has just started and would get too much load is readmitted together with the lines that reduce it.
        Otherwise it would wait for tables whose order has nothing to do with it, while more servers are withdrawn.
        """
        slices_by_server = {server: [] for server in pending.readmit_now}
        for slice_index in pending.target_tables:
            for server in self.tables[slice_index].keys() & slices_by_server.keys():
                slices_by_server[server].append(slice_index)

        demand = self.demand_at_cold_servers()

        def plan(server):
            tables = {slice_index: self.tables[slice_index] for slice_index in slices_by_server[server]}
            targets = {slice_index: self.next_target(slice_index, pending, {server}) for slice_index in tables}
            usable = (pending.usable - self.withdrawals.withdrawn) | draft.readmitted
            # Without any usable server, nothing can take load from this one. One that was readmitted before already
            # has its load from all proxies but those that missed that.
            is_limited = usable and server not in self.withdrawals.readmitted
            max_load = self.max_readmitted_load(server) if is_limited else float("inf")
            return plan_readmission(server, tables, targets, usable, demand, max_load)

        for server in sorted(
            slices_by_server.keys() - draft.readmitted, key=lambda server: (plan(server).cost, server)
        ):
            if draft.full:
                return
            self.write_readmission(plan(server), budget, draft)  # planned anew, as tables have changed

    def max_readmitted_load(self, server):
        """The load, in tries per window, at which a server may be readmitted: limited while it is cold."""
        warmth = self.warmth(server)
        if warmth == 1.0:
            return float("inf")
        fleet = self.fleet_load(sum(self.planned_demand.values()), self.ready_workers())
        return fleet.max_cold_load(self.workers[server].weight, warmth)

    def write_readmission(self, readmission, budget, draft):
        """Readmit one server, or write as many of the lines that have to precede that as fit."""
        for line in readmission.lines:
            draft.full = draft.full or not budget.fits(draft.lines, draft.lines + 1, urgent=False)
            if draft.full:
                return
            draft.lines += 1
            self.write_lines(line.table, {line.server: line.weight})
        draft.full = budget.room(draft.lines) <= 0
        if not draft.full:
            draft.lines += 1
            draft.readmitted.add(readmission.server)

    def write_lines(self, slice_index, lines):
        """Order these lines of a table, {server: weight}; a weight of 0 removes one."""
        for server, weight in lines.items():
            if weight > 0 or not self.setup.single_owner:
                self.orders.set_weight(slice_index, server, weight)
        self.tables[slice_index] = update_table(self.tables[slice_index], lines)

    def write_tables(self, pending, changes, budget, draft):
        """Write these changes of tables, the most urgent first.

        A withdrawn server that no table names is readmitted with its first line: a table that names only withdrawn
        servers leaves its proxies without any.
        """
        unnamed = set(pending.readmit_now) - pending.named
        for change in changes:
            table, target = self.tables[change.table], self.next_table(change, pending)
            written = [server for server in sorted(target) if differs(table, target, server)]
            removed = [server for server in sorted(table) if server not in target]
            first_lines = unnamed.intersection(written) - draft.readmitted
            new_lines = draft.lines + len(written) + len(removed) + len(first_lines)
            draft.full = draft.full or not budget.fits(draft.lines, new_lines, urgent=not change.can_wait)
            if draft.full:
                return
            draft.lines, draft.readmitted = new_lines, draft.readmitted | first_lines
            draft.has_repairs |= not change.can_wait
            self.write_lines(change.table, {server: target[server] for server in written} | dict.fromkeys(removed, 0))

    def next_target(self, slice_index, pending, readmitted=frozenset()):
        """The table that a slice may have next on the way to its target, without a loss of usable servers.

        `readmitted`: servers that are readmitted with the same message.
        """
        table, target = self.tables[slice_index], pending.target_tables[slice_index]
        if not self.setup.single_owner:
            return safe_target(table, target, pending.usable, readmitted)
        usable = pending.usable | readmitted
        return table if table.keys() & usable and not target.keys() & usable else target

    def next_table(self, change, pending):
        """The table to write for a change, which may be only a part of it."""
        target = self.next_target(change.table, pending)
        if self.setup.single_owner:
            return target
        if not change.well_served and pending.usable:
            return self.with_one_line(change.table, target, pending)
        return target

    def with_one_line(self, slice_index, target, pending):
        """The present table with one line added or raised, for a slice with few usable servers left.

        One line each for as many such slices as possible comes first; the rest of the target follows later.
        """
        table = self.tables[slice_index]
        candidates = {server: target[server] for server in target if server in pending.usable} or {
            rendezvous_server(slice_index, pending.warm): 1.0
        }
        best = max(
            candidates,
            key=lambda server: (
                candidates[server] > table.get(server, 0.0),
                server in pending.warm and candidates[server] > LINGER_WEIGHT,
                candidates[server],
                -server,
            ),
        )
        return table | {best: candidates[best]}
