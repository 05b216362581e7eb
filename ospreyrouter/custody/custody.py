"""The lease of this manager and what follows from it: what may be published, and which epoch to write next. No I/O.

    custody = Custody(own_index, manager_count, slice_count, lease_us, drift)
    custody.heartbeat_written(began, now)      # own heartbeat is in the store; its write began at `began`
    custody.heartbeat_seen(began, now, manager, heartbeat)     # as found by a check of the store from `began` to `now`
    custody.epoch_seen(epoch, now)             # the newest epoch in the store
    custody.check_completed(began, now)        # that check was successful
    if custody.may_publish(now): ...           # tested before every effect
    epoch = custody.propose_epoch(now)         # an epoch to write next, or None
    custody.epoch_written(epoch, now)          # it was written;
    custody.epoch_refused()                    # another manager wrote that number first;
    custody.epoch_write_uncertain(now)         # or it is unknown whether it was written

Managers need no connection to each other. They agree through numbered epochs: each epoch assigns all slices, and the
store lets only one writer create a number. The number is the fence of the slices that the epoch assigns anew.

A slice has one publisher at a time, however slow the store is, as long as clocks drift less than stated, because:
- The lease counts from before the own heartbeat was written, and it also requires a check of the store within its
  length: a manager that can write but not read does not continue under an old epoch. If the lease had expired before
  the heartbeat was known to be written, a new check must be completed first.
- A manager is dead if a check that began at least the death timeout after its heartbeat last changed found no change.
- Slices taken over from a dead manager are published after a further check, begun when the epoch was known to be
  written, that still finds the manager dead; otherwise after the death timeout. A victim that returned before the epoch
  was written is noticed by its heartbeat, and continues until its next check, for one lease at most. A victim that
  returns later sees the epoch first.
- Slices handed over to another manager are no longer published from before the epoch is written; if the result of the
  write is unknown, they stay unpublished until a check shows it.
"""

import hashlib

from .membership import Membership
from .slice_assignment import NO_VICTIM, Epoch, assign_owners, default_owner

RETURN_STEPS = 4  # a returning manager gets its slices back in this many portions, one lease apart


class Custody:
    """Custody as one manager sees it; see the top of this module.

    `own_index` is this manager's number, `drift` the largest relative drift of clocks. Times are microseconds of this
    process's monotonic clock.
    """

    def __init__(self, own_index, manager_count, slice_count, lease_us, drift):
        self.own_index, self.manager_count, self.slice_count = own_index, manager_count, slice_count
        self.lease_us, self.death_timeout_us = lease_us, round(lease_us * (1 + drift))
        self.membership = Membership(own_index, manager_count, lease_us, self.death_timeout_us)
        self.renewed_at, self.last_check_at, self.epoch = None, None, None
        self.fenced_anew, self.started_at, self.check_required_from = False, None, 0
        self.releasing, self.released_at, self.uncertain_since = frozenset(), None, None
        self.pending_takeovers = {}  # {slice: (victim or None, seen at)}: taken over and not published yet
        self.held_out = frozenset()
        self.first_seen_epoch, self.idle_inputs, self.lost_races = None, None, 0
        self.assignment_seen_at = [0] * slice_count  # when the epoch that assigned the slice was first seen here

    def heartbeat_written(self, began, now):
        """Renews the lease: the own heartbeat is in the store. The write began at `began` and ended at `now`."""
        if self.renewed_at is None or now - self.renewed_at >= self.lease_us:
            # The lease had expired: slices may have been taken over, so the new lease needs a new check.
            self.check_required_from = now
        self.renewed_at = began if self.renewed_at is None else max(self.renewed_at, began)
        self.started_at = began if self.started_at is None else self.started_at

    def heartbeat_seen(self, began, now, manager, heartbeat):
        """Records another manager's heartbeat, as a check from `began` to `now` found it."""
        self.membership.record_heartbeat(began, now, manager, heartbeat)

    def epoch_seen(self, epoch, now):
        """Adopts the newest epoch in the store; None and epochs that are not newer are ignored."""
        if epoch is None or self.epoch is not None and epoch.number <= self.epoch.number:
            return
        previous, self.epoch = self.epoch, epoch
        for slice_index, (owner, fence, victim) in enumerate(zip(epoch.owners, epoch.fences, epoch.victims)):
            if previous is not None and fence == previous.fences[slice_index]:
                continue  # not assigned anew
            if owner != self.own_index or victim == NO_VICTIM:
                self.pending_takeovers.pop(slice_index, None)
            if owner == self.own_index and victim != NO_VICTIM:
                # The victim may itself have taken the slice over, from a manager not known to be dead. Then only the
                # death timeout is proof, unless so much time has passed that the victim must have completed a check or
                # stopped publishing.
                victim_is_certain = (
                    previous is not None
                    and previous.owners[slice_index] == victim
                    and (
                        previous.victims[slice_index] == NO_VICTIM
                        or now - self.assignment_seen_at[slice_index] >= self.death_timeout_us
                    )
                )
                self.pending_takeovers[slice_index] = (victim if victim_is_certain else None, now)
            self.assignment_seen_at[slice_index] = now

    def check_completed(self, began, now):
        """A check of the store (heartbeats and newest epoch) from `began` to `now` was successful."""
        self.membership.check_completed(began)
        if self.first_seen_epoch is None:
            self.first_seen_epoch = 0 if self.epoch is None else self.epoch.number
        self.last_check_at = began if self.last_check_at is None else max(self.last_check_at, began)
        if self.check_required_from is not None and began >= self.check_required_from:
            self.check_required_from = None
        if self.uncertain_since is not None and began >= self.uncertain_since:
            # It is now known whether the epoch was written: this check has found it, or it does not exist.
            self.uncertain_since, self.releasing = None, frozenset()
        for slice_index, (victim, seen_at) in list(self.pending_takeovers.items()):
            if (
                began >= seen_at
                and victim is not None
                and self.membership.is_dead(victim)
                or now - seen_at >= self.death_timeout_us
            ):
                del self.pending_takeovers[slice_index]

    def set_held_out(self, held_out):
        """Sets the managers, by number, that operators hold out: they are assigned no slices."""
        self.held_out = frozenset(held_out)

    def is_alive(self, manager, now):
        """Whether a manager is alive; this manager is if its lease is valid."""
        return self.may_publish(now) if manager == self.own_index else self.membership.is_alive(manager, now)

    def may_publish(self, now):
        """Whether the own lease is valid. After a pause of this process or of its store, the lease must be renewed and
        a check must show the current owners before anything is written.
        """
        return (
            self.renewed_at is not None
            and self.check_required_from is None
            and now - self.renewed_at < self.lease_us
            and self.last_check_at is not None
            and now - self.last_check_at < self.lease_us
        )

    def slices_in_charge(self):
        """Returns {slice: fence} of the slices this manager is in charge of, without pending takeovers."""
        return (
            {}
            if self.epoch is None
            else {
                slice_index: self.epoch.fences[slice_index]
                for slice_index, owner in enumerate(self.epoch.owners)
                if owner == self.own_index and slice_index not in self.pending_takeovers
            }
        )

    def publishable_slices(self, now):
        """Returns the set of slices for which this manager may publish tables at `now`."""
        return self.slices_in_charge().keys() - self.releasing if self.may_publish(now) else set()

    def assigned_slices(self):
        """Returns all slices that the newest epoch assigns to this manager, including pending takeovers."""
        return (
            set()
            if self.epoch is None
            else {slice_index for slice_index, owner in enumerate(self.epoch.owners) if owner == self.own_index}
        )

    def propose_epoch(self, now):
        """Returns the next Epoch by this manager's knowledge, or None if there is nothing for it to change.

        Slices that the proposal hands over are no longer published from here on.
        """
        if self.uncertain_since is not None or not self.may_publish(now) or not self.membership.observed_long_enough():
            return None  # managers may be alive whose heartbeats were not seen to change yet
        alive = [manager for manager in range(self.manager_count) if self.is_alive(manager, now)]
        is_first = alive[0] == self.own_index
        if (
            self.epoch is not None
            and not self.fenced_anew
            and all(fence > self.first_seen_epoch for fence in self.slices_in_charge().values())
        ):
            self.fenced_anew = True  # every fence is newer than this process, so its predecessor never had it
        if self.epoch is None:
            if not is_first:
                return None
            eligible = [manager for manager in alive if manager not in self.held_out] or alive
            self.fenced_anew = True
            return Epoch(
                1,
                tuple(
                    default_owner(slice_index, self.manager_count, eligible) for slice_index in range(self.slice_count)
                ),
                (1,) * self.slice_count,
                (NO_VICTIM,) * self.slice_count,
            )
        number, fences, victims = self.epoch.number + 1, list(self.epoch.fences), list(self.epoch.victims)
        dead_owners = {
            owner for owner in set(self.epoch.owners) if owner != self.own_index and self.membership.is_dead(owner)
        }
        settled = [
            manager for manager in alive if manager != self.own_index and self.membership.is_settled(manager, now)
        ]
        # Takeovers go first: of all managers that write the same number at once, only one succeeds.
        defer_returns = dead_owners or self.released_at is not None and now - self.released_at < self.lease_us
        max_returned = 0 if defer_returns else self._max_returned()
        inputs = (self.epoch.number, alive, settled, dead_owners, self.held_out, max_returned, self.fenced_anew)
        if inputs == self.idle_inputs:
            return None  # nothing has changed since there was last nothing to do
        owners = assign_owners(
            self.epoch,
            self.own_index,
            self.manager_count,
            alive,
            lambda manager: self.membership.is_settled(manager, now),
            self.membership.is_dead,
            self.held_out,
            is_first,
            max_returned,
        )
        # A new process fences off its predecessor, which may only be paused.
        refenced = (
            set()
            if self.fenced_anew
            else {slice_index for slice_index in self.assigned_slices() if owners[slice_index] == self.own_index}
        )
        moved = {
            slice_index
            for slice_index in range(self.slice_count)
            if owners[slice_index] != self.epoch.owners[slice_index]
        }
        if not moved and not refenced:
            self.fenced_anew = True
            self.idle_inputs = inputs[:-1] + (True,)
            return None
        for slice_index in moved | refenced:
            fences[slice_index] = number
            victims[slice_index] = (
                NO_VICTIM if self.epoch.owners[slice_index] == self.own_index else self.epoch.owners[slice_index]
            )
        self.releasing = frozenset(
            slice_index for slice_index in moved if self.epoch.owners[slice_index] == self.own_index
        )
        return Epoch(number, tuple(owners), tuple(fences), tuple(victims))

    def _max_returned(self):
        """How many slices one epoch returns to their home managers at most."""
        return max(1, -(-self.slice_count // (self.manager_count * RETURN_STEPS)))

    def epoch_written(self, epoch, now):
        """The proposed epoch is in the store."""
        if self.releasing:
            self.released_at = now
        self.fenced_anew, self.releasing, self.lost_races = True, frozenset(), 0
        self.epoch_seen(epoch, now)

    def epoch_refused(self):
        """Another manager wrote that number first, and the proposal was not written.

        Returns the delay in microseconds after the next check before the next attempt: drawn by a hash, as many
        managers may try at once.
        """
        self.releasing, self.lost_races = frozenset(), self.lost_races + 1
        draw = hashlib.blake2b(
            f"{self.own_index}/{self.lost_races}/{self.epoch.number}".encode(), digest_size=4
        ).digest()
        return int.from_bytes(draw, "big") * self.lease_us // 8 >> 32

    def epoch_write_uncertain(self, now):
        """The store returned an error or no result: the proposal may have been written all the same. The slices that it
        hands over are not published until a check shows whether it was.
        """
        self.uncertain_since = now

    def handoff_epoch(self, now):
        """Returns the epoch by which a stopping manager hands its slices to managers that are alive, or None."""
        others = [
            manager
            for manager in range(self.manager_count)
            if manager != self.own_index and self.is_alive(manager, now)
        ]
        others = [manager for manager in others if manager not in self.held_out] or others
        assigned = self.assigned_slices()
        if not others or not assigned or not self.may_publish(now):
            return None
        number = self.epoch.number + 1
        owners, fences, victims = list(self.epoch.owners), list(self.epoch.fences), list(self.epoch.victims)
        for slice_index in assigned:
            # A pending takeover is passed on with its victim.
            owners[slice_index], fences[slice_index] = default_owner(slice_index, self.manager_count, others), number
            victims[slice_index] = NO_VICTIM if slice_index not in self.pending_takeovers else victims[slice_index]
        self.releasing = frozenset(assigned)
        return Epoch(number, tuple(owners), tuple(fences), tuple(victims))
