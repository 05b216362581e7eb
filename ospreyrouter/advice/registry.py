"""Balancers, their groups, and what each has to be told next. No I/O; tables and withheld workers are told to it.

    registry = Registry(limits)
    registry.register(lb, group, members)      # raises Refused with a reason
    registry.published(slice, lines, withheld, confidence)
    entries = registry.advice(lb, group)       # [(member, weight, contact, quiesce)]
    groups = registry.due(lb)                  # groups whose advice is another than was last taken
    registry.taken(lb, group)                  # the balancer took what `advice` said last

A group named `slice-N` stands for that slice's table. A member is (host, port). Whether a member may be used is told
by the tables alone; a member that no table names has weight 0, and one that is not of this fleet no contact.
"""

from dataclasses import dataclass, field

from .weights import steady_weights


class Refused(Exception):
    """`reason`: one of "unknown group", "duplicate", "already registered", "too many members", "too many groups"."""

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


@dataclass
class Limits:
    groups: int = 2_000
    members: int = 500


@dataclass
class GroupState:
    members: dict = field(default_factory=dict)  # (host, port): quiesced by the balancer or the member itself
    said: tuple | None = None
    version: int = -1


@dataclass
class Balancer:
    groups: dict = field(default_factory=dict)
    push: bool = False
    only_changes: bool = False
    health: int = 0


class Registry:
    """See the top of this module."""

    def __init__(self, slices, limits=None):
        self.slices, self.limits = slices, limits or Limits()
        self.balancers, self.tables, self.weights, self.versions = {}, {}, {}, {}
        self.fleet = {}  # (host, port): confidence, of the workers that the list has

    def slice_of(self, group):
        head, _, number = group.rpartition("-")
        if head != "slice" or not number.isdigit() or int(number) >= self.slices:
            raise Refused("unknown group")
        return int(number)

    def register(self, lb, group, members):
        """All members or none. Raises Refused."""
        self.slice_of(group)
        if len(set(members)) != len(members):
            raise Refused("duplicate")
        balancer = self.balancers.get(lb) or Balancer()
        state = balancer.groups.get(group) or GroupState()
        if any(member in state.members for member in members):
            raise Refused("already registered")
        if len(state.members) + len(members) > self.limits.members:
            raise Refused("too many members")
        if group not in balancer.groups and len(balancer.groups) >= self.limits.groups:
            raise Refused("too many groups")
        self.balancers[lb] = balancer
        balancer.groups[group] = state
        state.members.update(dict.fromkeys(members, False))
        state.said = None

    def deregister(self, lb, group=None, members=None):
        """Members of a group, a whole group, or all of a balancer. Raises Refused; advice on its way is void."""
        balancer = self.balancers.get(lb)
        if balancer is None or group and group not in balancer.groups:
            raise Refused("unknown group")
        if not group:
            del self.balancers[lb]
            return
        state = balancer.groups[group]
        for member in members or list(state.members):
            if state.members.pop(member, None) is None:
                raise Refused("unknown member")
        state.said = None
        if not state.members:
            del balancer.groups[group]

    def quiesce(self, lb, group, member, on):
        """A balancer or member says that it shall get nothing new; the module is not told: it is no demand."""
        balancer = self.balancers.get(lb)
        state = balancer.groups.get(group) if balancer else None
        if state is None or member not in state.members:
            raise Refused("unknown member")
        state.members[member] = on

    def published(self, item, lines, withheld):
        """A slice's table: {(host, port): share}, and which of them are withheld."""
        usable = {member: share for member, share in lines.items() if member not in withheld and share > 0}
        weights = steady_weights(usable, self.weights.get(item))
        self.tables[item] = (frozenset(lines), frozenset(withheld))
        if weights != self.weights.get(item) or item not in self.versions:
            self.versions[item] = self.versions.get(item, -1) + 1
        self.weights[item] = weights

    def listed(self, fleet):
        """{(host, port): confidence} of the workers that are known."""
        self.fleet = dict(fleet)

    def advice(self, lb, group):
        """[(member, weight, contact, quiesce)] in the members' order. Raises Refused."""
        balancer = self.balancers.get(lb)
        if balancer is None or group not in balancer.groups:
            raise Refused("unknown group")
        item = self.slice_of(group)
        weights, (_, withheld) = self.weights.get(item, {}), self.tables.get(item, ((), ()))
        out = []
        for member, quiesced in sorted(balancer.groups[group].members.items()):
            weight = 0 if quiesced else weights.get(member, 0)
            out.append((member, weight, self.fleet.get(member, 0.0) > 0.0, quiesced or member in withheld))
        return out

    def due(self, lb):
        """Groups of a balancer whose advice is another than it last took."""
        return [group for group, state in sorted(self.balancers[lb].groups.items())
                if state.said != tuple(self.advice(lb, group))]

    def taken(self, lb, group, entries):
        balancer = self.balancers.get(lb)
        if balancer is not None and group in balancer.groups:
            balancer.groups[group].said = tuple(entries)

    def unproven(self, member):
        """Balancers that were last told a weight above 0 for a member, or were told nothing yet: until each has taken
        other advice, a drain of that member is not proven to be kept."""
        out = []
        for lb, balancer in sorted(self.balancers.items()):
            for state in balancer.groups.values():
                if member in state.members and (state.said is None or any(
                        row[0] == member and row[1] > 0 for row in state.said)):
                    out.append(lb)
                    break
        return out
