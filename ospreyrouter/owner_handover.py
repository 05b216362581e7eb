"""Decides when a slice with a single owner may get its next one. No I/O; the clock is an argument.

The writes of a slice must never be at two servers. So the former owner is withdrawn first, which stops the writes, and
the level of the slice is set to 0, as its proxies have no server to pick meanwhile. The next owner is named once no
proxy can have sent a write to the former one that is still in flight:

- all joined proxies have acknowledged the withdrawal;
- proxies that left, or whose slice changed hands, have stopped by themselves: the lease has passed since;
- the longest time that a write is in flight has passed since both.

Times are whole microseconds. Servers, slices and proxies are indices.
"""

from .interface import LevelKind

UNLIMITED_RATE = 1e6  # level that refuses nothing, where levels are rates


class OwnerHandovers:
    """The handovers of the slices of one manager.

    `stopped_since`: {slice: time since when no joined proxy sends to its former owner}. `left_at`: {proxy: when it
    left}, of those that have not joined again. `levels`: {slice: level that its proxies were last ordered to apply}; a
    slice without an entry may have any. `level_messages`: {slice: number of the message with that level}.
    """

    def __init__(self, setup):
        self.setup = setup
        self.stopped_since, self.left_at, self.levels, self.level_messages = {}, {}, {}, {}

    def record_join(self, proxy, fresh, acknowledged):
        """A proxy has joined that holds what was ordered up to message `acknowledged`; `fresh`: it holds nothing.

        Levels that it may lack are ordered again. A proxy that was started anew refuses nothing.
        """
        self.left_at.pop(proxy, None)
        for slice_index, message in self.level_messages.items():
            if message > acknowledged and not (fresh and self.levels.get(slice_index)):
                self.levels.pop(slice_index, None)

    def record_leave(self, now, proxy):
        """A proxy has left; it sends writes for the time of the lease."""
        self.left_at[proxy] = now

    def repeat_levels(self, slices):
        """The former owners of these slices are withdrawn once more, so their levels are to be ordered again, too."""
        for slice_index in slices:
            self.levels.pop(slice_index, None)

    def forget(self, slice_index):
        """The slice has changed hands, so nothing is known of its levels."""
        for states in (self.stopped_since, self.levels, self.level_messages):
            states.pop(slice_index, None)

    def update(self, now, former_owners, proxy_states, messages_by_worker):
        """Note which slices no joined proxy writes to any more.

        `former_owners`: {slice: owner that must not be used}. `proxy_states`: the ProxyState of each joined proxy;
        `messages_by_worker`: numbers of the messages that withdrew each withdrawn worker.
        """
        stopped = {
            owner
            for owner in set(former_owners.values())
            if owner in messages_by_worker
            and all(state.holds(owner, messages_by_worker[owner]) for state in proxy_states)
        }
        self.stopped_since = {
            slice_index: self.stopped_since.get(slice_index, now)
            for slice_index, owner in former_owners.items()
            if owner in stopped
        }

    def may_name_owner(self, now, slice_index, granted_at):
        """Whether the next owner of a slice may be named; `granted_at`: since when this manager is in charge of it."""
        since = self.stopped_since.get(slice_index)
        if since is None:
            return False
        left_at = max(self.left_at.values(), default=granted_at)
        return now >= max(since, max(left_at, granted_at) + self.setup.lease_us) + self.setup.max_in_flight_us

    def due_levels(self, slices, former_owners):
        """The levels to be ordered, as (slice, level) pairs, those that refuse first."""
        if self.setup.level_kind is LevelKind.NONE:
            return []
        admitted = UNLIMITED_RATE if self.setup.level_kind is LevelKind.RATE else 1.0
        wanted = {slice_index: 0.0 if slice_index in former_owners else admitted for slice_index in slices}
        return sorted(
            ((slice_index, level) for slice_index, level in wanted.items() if self.levels.get(slice_index) != level),
            key=lambda pair: (pair[1], pair[0]),
        )

    def record_level(self, slice_index, level, message):
        """A message orders this level of a slice."""
        self.levels[slice_index], self.level_messages[slice_index] = level, message
