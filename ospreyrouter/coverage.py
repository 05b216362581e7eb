"""Keeps slices served while their tables change and servers are withdrawn and readmitted. No I/O and no state.

A plan may name servers that are still withdrawn, so a table that is as planned can leave proxies without a server. What
counts is what proxies can use: the *usable* servers, which are ready and not withdrawn.

A table is {server: weight}; servers and slices are indices.
"""

from dataclasses import dataclass

MIN_USABLE_PART = 0.5  # part of a table's planned weight that usable servers must have before other lines go
EPSILON = 1e-6  # weights that differ by no more than this are equal


def differs(table, target, server):
    """Whether the weight of a server in a table is not the one that it is to have."""
    return abs(target.get(server, 0.0) - table.get(server, 0.0)) > EPSILON


def safe_target(table, target, usable, readmitted=frozenset()):
    """The table to write now in place of `table` on the way to `target`.

    It is `target` once the usable servers, and those `readmitted` with the same message, have enough of its weight.
    Until then it keeps the lines of usable servers, too, as the slice depends on them.
    """
    planned = sum(weight for server, weight in target.items() if server in usable or server in readmitted)
    if planned >= MIN_USABLE_PART * sum(target.values()):
        return target
    kept = {server: max(weight, target.get(server, 0.0)) for server, weight in table.items() if server in usable}
    return target | kept


@dataclass(frozen=True)
class TableLine:
    """A line of a table to be written; a weight of 0 removes it."""

    table: int
    server: int
    weight: float


def plan_removals(tables, lost, usable):
    """The lines of `lost` servers that slices can do without, as TableLine objects that remove them.

    All lines of one server come together, those of the server with the fewest first: its withdrawal has to be repeated
    for proxies that join only as long as any table names it. `tables`: {slice: table}. A slice keeps its lines until a
    table names a usable server.
    """
    slices_by_server = {server: [] for server in sorted(lost)}
    for slice_index, table in sorted(tables.items()):
        if table.keys() & usable:
            for server in table.keys() & lost:
                slices_by_server[server].append(slice_index)
    fewest_first = sorted(slices_by_server, key=lambda server: (len(slices_by_server[server]), server))
    return [TableLine(slice_index, server, 0) for server in fewest_first for slice_index in slices_by_server[server]]


@dataclass(frozen=True)
class Readmission:
    """A withdrawn server that is ready, and the lines that limit its load, to be written before proxies use it again.

    The lines may be written in several messages, in this order.
    """

    server: int
    lines: list

    @property
    def cost(self):
        """Lines at each proxy, the order that readmits the server included."""
        return 1 + len(self.lines)


def load_share(server, table, usable):
    """Part of a slice's load that a server gets by its table once proxies may use it, too."""
    weight = table.get(server, 0.0)
    others = sum(other_weight for other, other_weight in table.items() if other in usable and other != server)
    return weight / (weight + others) if weight else 0.0


def plan_readmission(server, tables, targets, usable, demand, max_load):
    """The Readmission of a server that is to get at most `max_load`, as far as the plan allows that.

    `tables`: {slice: table} of the tables that name it; `targets`: these as planned; `demand`: the load of each slice,
    in the unit of `max_load`. Tables that give it more weight than planned are changed, those with the most load first.
    """
    loads = {index: demand.get(index, 1.0) * load_share(server, table, usable) for index, table in tables.items()}
    load, lines = sum(loads.values()), []
    for index in sorted(loads, key=lambda index: (-loads[index], index)):
        if load <= max_load:
            break
        table, target = tables[index], targets[index]
        if table[server] > target.get(server, 0.0) + EPSILON:
            reduced = _reduced_lines(server, table, target, usable)
            lines += [TableLine(index, other, weight) for other, weight in reduced.items()]
            load += demand.get(index, 1.0) * load_share(server, update_table(table, reduced), usable) - loads[index]
    return Readmission(server, lines)


def _reduced_lines(server, table, target, usable):
    """The lines, {server: weight}, that reduce a server's part of a slice to the planned one.

    Its own line is enough if other usable servers have enough weight in the table already. Otherwise those that are
    planned take the load.
    """
    own_line = {server: target.get(server, 0.0)}
    if load_share(server, update_table(table, own_line), usable) <= load_share(server, target, target.keys()) + EPSILON:
        return own_line
    others = sorted(other for other in target if other in usable and differs(table, target, other))
    return {other: target[other] for other in others if other != server} | own_line


def update_table(table, lines):
    """The table after these lines were written; lines of weight 0 are removed."""
    return {server: weight for server, weight in (table | lines).items() if weight > 0}
