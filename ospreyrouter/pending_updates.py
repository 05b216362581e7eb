"""What is due to be sent to the proxies at one moment, and how long the message may be that carries it.

No I/O and no state. Tables and servers are given by index; a table is {server: weight}. Lines are counted once per
proxy unless stated otherwise.
"""

from dataclasses import dataclass, field

from .channel_schedule import UNCONFIRMED_FILL, ChannelState, Urgency


@dataclass(frozen=True)
class TableChange:
    """A table that is not as it is to be.

    `load`: the demand that the change moves. `can_wait`: enough weight is left at warm servers. `half_left`: at least
    half of the table's weight is at usable servers.
    """

    table: int
    load: float
    can_wait: bool
    half_left: bool

    @property
    def sort_key(self):
        """Sorts the most urgent change first."""
        return self.can_wait, self.half_left, -self.load, self.table

    @property
    def well_served(self):
        """Whether the slice has enough usable servers until the change is sent."""
        return self.can_wait and self.half_left


@dataclass
class PendingUpdates:
    """What is due to be sent to the proxies.

    `target_tables`: the tables as they are to be, by slice.
    `usable`, `warm`: servers that proxies can use, and those of them that are warm.
    `named`: servers named by tables; `lost`: those of them that must not be used.
    `readmit_now`, `readmit_later`: workers to readmit, with the next message or with an ordinary one.
    `table_changes`: TableChange objects, the most urgent first.
    `withdraw_now`, `withdraw_again`: workers to withdraw because the list demands it, or because some proxy may have
        missed it.
    `slice_levels`: (slice, level) pairs to be ordered for slices with a single owner.
    """

    target_tables: dict
    usable: set
    warm: set
    named: set
    lost: set
    readmit_now: list
    readmit_later: list
    table_changes: list = field(default_factory=list)
    withdraw_now: list = field(default_factory=list)
    withdraw_again: list = field(default_factory=list)
    slice_levels: list = field(default_factory=list)
    levels_changed: bool = False

    @property
    def to_withdraw(self):
        """All workers to withdraw, first those that the list demands."""
        return self.withdraw_now + self.withdraw_again

    @property
    def slices_unserved(self):
        """The number of slices that need a server at once, for which a message has to have a line each."""
        return sum(not change.can_wait for change in self.table_changes)

    def lines_due(self, head):
        """Lines at each proxy that the next message must have room for; `head`: lines of a message without any.

        A withdrawal that the list demands goes by itself, if it has to. One that is only repeated goes with lines for
        slices that need a server, as many as are worth a head. Otherwise the heads of repeats would take the room that
        these lines wait for.
        """
        if self.withdraw_now or not self.withdraw_again:
            return len(self.withdraw_now)
        return len(self.withdraw_again) + self.slices_unserved

    def withdrawals_that_fit(self, room, repeats_overdue):
        """The workers to withdraw in a message with room for so many lines at each proxy.

        Slices that need a server come before withdrawals that are only repeated, unless these can wait no longer.
        """
        first = self.withdraw_now[:room]
        room_for_repeats = room - len(first) - (0 if repeats_overdue else self.slices_unserved)
        return first + self.withdraw_again[: max(0, room_for_repeats)]

    @property
    def has_updates(self):
        """Whether anything apart from levels is due."""
        return bool(
            self.table_changes or self.to_withdraw or self.readmit_now or self.readmit_later or self.slice_levels
        )

    @property
    def urgency(self):
        """The Urgency of the most urgent update."""
        if self.withdraw_now:
            return Urgency.WITHDRAWAL
        if self.levels_changed:
            return Urgency.LEVELS
        if self.slices_unserved or self.readmit_now and not self.usable:
            return Urgency.BARE_SLICE
        return Urgency.REPEAT if self.withdraw_again or self.readmit_now else Urgency.ORDINARY


@dataclass
class MessageDraft:
    """A message that is being written.

    `lines`: its lines at each proxy so far, without the head. `readmitted`: workers that it readmits. `full`: something
    urgent did not fit, so that nothing less urgent may take the room for which it waits. `has_repairs`: it carries
    lines that slices need at once or that end repeats.
    """

    lines: int
    readmitted: set = field(default_factory=set)
    full: bool = False
    has_repairs: bool = False


@dataclass(frozen=True)
class MessageBudget:
    """Limits for the length of a message.

    Lines are totals over all proxies with heads included, except for `with_repeat`, which counts lines at each proxy
    without the head. `state`: the ChannelState that the limits are for. `ordinary`: lines that may be queued behind an
    ordinary message. `later_limit`: lines that may be unconfirmed if no slice needs them at once.
    `prompt`: lines that may be queued so that a withdrawal right behind them is still in time. `repair`: the same for
    lines that slices need at once, or that end repeats. `with_repeat`: lines that go with a repeat of withdrawals,
    whatever the limit for ordinary messages.
    """

    state: ChannelState
    ordinary: float
    later_limit: float
    prompt: float
    repair: float
    with_repeat: float

    def room(self, lines):
        """Lines at each proxy by which a message that has `lines` so far may be longer, for readmissions."""
        room = int((self.later_limit - self.state.unconfirmed) / self.state.receivers - self.state.head) - lines
        return min(room, int(self.repair_room(lines)))

    def ordinary_room(self, lines):
        """Lines at each proxy by which a message that has `lines` so far may be longer, for changes that can wait."""
        return max(0.0, (self.ordinary - self.state.queued) / self.state.receivers - self.state.head - lines)

    def repair_room(self, lines):
        """The same for lines that slices need at once, or that end repeats."""
        return max(0.0, (self.repair - self.state.queued) / self.state.receivers - self.state.head - lines)

    def fits(self, lines, new_lines, urgent):
        """Whether a message that has `lines` at each proxy may have `new_lines` instead.

        `urgent`: a slice needs what is added at once, or it ends repeats.
        """
        state = self.state
        cost = (state.head + new_lines) * state.receivers
        if lines and state.head + new_lines > state.longest:
            return False
        if state.queued + cost > (self.repair if urgent else self.prompt):
            return False
        if urgent:
            return state.unconfirmed + cost <= state.limit
        if state.unconfirmed + cost > UNCONFIRMED_FILL * self.later_limit:
            return False
        return state.queued + cost <= self.ordinary or new_lines <= self.with_repeat
