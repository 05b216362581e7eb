"""Balancers, the groups they registered, and what has to be sent to each of them next. No I/O.

    registry = Registry(slices, limits)
    registry.register(balancer, group, members)          # raises RegistryError with a reason
    registry.publish_table(slice, lines, withheld)
    entries = registry.advice(balancer, group)           # [(member, weight, contact, quiesce)]
    groups = registry.groups_due(balancer)               # groups whose advice differs from what was last sent
    registry.mark_sent(balancer, group, entries)         # these entries were sent to the balancer

A group named `slice-N` is the table of slice N. A member is (host, port). Only the tables decide whether a
member may be used: a member that is in no table has weight 0. A member that is not on the worker list has no contact.
"""

from dataclasses import dataclass, field

from .weights import apportion_weights


class RegistryError(Exception):
    """A request that the registry rejects.

    `reason` is one of "unknown group", "unknown member", "duplicate", "already registered", "too many members" and
    "too many groups".
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


@dataclass
class Limits:
    """The most groups of one balancer and the most members of one group."""

    groups: int = 2_000
    members: int = 500


@dataclass
class GroupState:
    """A registered group: its members, and the entries last sent to the balancer (None: nothing valid was sent)."""

    members: dict = field(default_factory=dict)  # (host, port): quiesced by the balancer or the member itself
    last_sent: tuple | None = None

    def copy(self):
        """Returns a copy whose members can be changed independently."""
        return GroupState(dict(self.members), self.last_sent)


@dataclass
class Balancer:
    """A balancer's groups by name, and how it wants to be served."""

    groups: dict = field(default_factory=dict)
    push: bool = False
    only_changes: bool = False
    health: int = 0


class Registry:
    """The groups of all balancers and the newest table of each slice; see the module's docstring."""

    def __init__(self, slices, limits=None):
        self.slices, self.limits = slices, limits or Limits()
        self.balancers, self.tables, self.weights = {}, {}, {}
        self.confidences = {}  # (host, port): confidence, of the workers on the list

    def slice_of(self, group):
        """Returns the slice index of a group name. Raises RegistryError if there is no such slice."""
        prefix, _, number = group.rpartition("-")
        if prefix != "slice" or not number.isdigit() or int(number) >= self.slices:
            raise RegistryError("unknown group")
        return int(number)

    def set_balancer_state(self, name, push, only_changes, health):
        """Stores whether a balancer wants pushes, whether only of groups whose advice changed, and its health."""
        balancer = self.balancers.setdefault(name, Balancer())
        balancer.push, balancer.only_changes, balancer.health = push, only_changes, health

    def save_groups(self, balancer_name, group_names):
        """Returns a function that restores these groups of a balancer to their present state."""
        balancer = self.balancers.get(balancer_name)
        saved = {
            name: balancer.groups[name].copy() if balancer and name in balancer.groups else None for name in group_names
        }

        def undo():
            current_groups = self.balancers.setdefault(balancer_name, Balancer()).groups
            for name, state in saved.items():
                if state is None:
                    current_groups.pop(name, None)
                else:
                    current_groups[name] = GroupState(dict(state.members))
            self.forget_if_idle(balancer_name)

        return undo

    def forget_if_idle(self, name):
        """Removes a balancer that has no groups and wants no pushes."""
        balancer = self.balancers.get(name)
        if balancer is not None and not balancer.groups and not balancer.push:
            del self.balancers[name]

    def register(self, balancer_name, group, members):
        """Adds all members to a group, or none. Raises RegistryError."""
        self.slice_of(group)
        if len(set(members)) != len(members):
            raise RegistryError("duplicate")
        balancer = self.balancers.get(balancer_name) or Balancer()
        state = balancer.groups.get(group) or GroupState()
        if any(member in state.members for member in members):
            raise RegistryError("already registered")
        if len(state.members) + len(members) > self.limits.members:
            raise RegistryError("too many members")
        if group not in balancer.groups and len(balancer.groups) >= self.limits.groups:
            raise RegistryError("too many groups")
        self.balancers[balancer_name] = balancer
        balancer.groups[group] = state
        state.members.update(dict.fromkeys(members, False))
        state.last_sent = None

    def deregister(self, balancer_name, group=None, members=None):
        """Removes members of a group, a whole group, or all groups of a balancer. Raises RegistryError.

        Advice that was sent before no longer counts as the balancer's state.
        """
        balancer = self.balancers.get(balancer_name)
        if balancer is None or group and group not in balancer.groups:
            raise RegistryError("unknown group")
        if not group:
            balancer.groups.clear()
            self.forget_if_idle(balancer_name)
            return
        state = balancer.groups[group]
        removed = list(members or state.members)
        if any(member not in state.members for member in removed):
            raise RegistryError("unknown member")  # all or none
        for member in removed:
            state.members.pop(member, None)
        state.last_sent = None
        if not state.members:
            del balancer.groups[group]
            self.forget_if_idle(balancer_name)

    def quiesce(self, balancer_name, group, member, quiesced):
        """Sets whether a member gets weight 0 by request of the balancer or the member. Raises RegistryError.

        The manager is not informed: this is not demand.
        """
        balancer = self.balancers.get(balancer_name)
        state = balancer.groups.get(group) if balancer else None
        if state is None or member not in state.members:
            raise RegistryError("unknown member")
        state.members[member] = quiesced

    def publish_table(self, slice_index, lines, withheld):
        """Stores a slice's table: `lines` is {(host, port): share}, `withheld` the members that must get nothing."""
        usable = {member: share for member, share in lines.items() if member not in withheld and share > 0}
        weights = apportion_weights(usable, self.weights.get(slice_index))
        self.tables[slice_index] = (frozenset(lines), frozenset(withheld))
        self.weights[slice_index] = weights

    def set_workers(self, confidences):
        """Stores the known workers as {(host, port): confidence}."""
        self.confidences = dict(confidences)

    def advice(self, balancer_name, group):
        """Returns [(member, weight, contact, quiesce)] ordered by member. Raises RegistryError."""
        balancer = self.balancers.get(balancer_name)
        if balancer is None or group not in balancer.groups:
            raise RegistryError("unknown group")
        slice_index = self.slice_of(group)
        weights, (_, withheld) = self.weights.get(slice_index, {}), self.tables.get(slice_index, ((), ()))
        entries = []
        for member, quiesced in sorted(balancer.groups[group].members.items()):
            weight = 0 if quiesced else weights.get(member, 0)
            entries.append((member, weight, self.confidences.get(member, 0.0) > 0.0, quiesced or member in withheld))
        return entries

    def groups_due(self, balancer_name):
        """Returns the groups to send: those whose advice differs from what was last sent.

        If there is one and the balancer did not ask for changes only, all of its groups are due.
        """
        balancer = self.balancers[balancer_name]
        changed = [
            group
            for group, state in sorted(balancer.groups.items())
            if state.last_sent != tuple(self.advice(balancer_name, group))
        ]
        return changed if balancer.only_changes or not changed else sorted(balancer.groups)

    def mark_sent(self, balancer_name, group, entries):
        """Records the entries that were sent to a balancer for a group."""
        balancer = self.balancers.get(balancer_name)
        if balancer is not None and group in balancer.groups:
            balancer.groups[group].last_sent = tuple(entries)

    def balancers_unproven(self, member):
        """Returns the balancers that may still send to a member.

        They were last sent a weight above 0 for it, or nothing yet. Until each has been sent other advice, a drain of
        the member is not proven to be kept.
        """
        names = []
        for name, balancer in sorted(self.balancers.items()):
            for state in balancer.groups.values():
                if member in state.members and (
                    state.last_sent is None or any(entry[0] == member and entry[1] > 0 for entry in state.last_sent)
                ):
                    names.append(name)
                    break
        return names
