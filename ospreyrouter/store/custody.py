"""Which manager is in charge of which slice. Decisions only: no files, and the clock is an argument.

    custody = Custody(me, managers, slices, lease_us, drift)
    custody.beat_written(at)            # own sign of life is in the store; `at` is from before it was written
    custody.beat_seen(now, other, beat) # another's sign of life as read: a changed one proves that it lives
    custody.epoch_seen(epoch)           # the newest division in the store
    custody.looked(began)               # the store was looked at, beginning at `began`
    if custody.may_publish(now): ...    # checked before every effect
    epoch = custody.proposal(now)       # a division to be written as the next one, or None

Managers cannot speak to each other. They agree by numbered epochs: each is a whole division of the slices, and the
store lets only one writer create a number. The number is the fence of all its owners. A slice of a manager that
lives changes hands only by that manager's own proposal, which stops publishing it at once; a dead one's slices are
dealt out by the first that lives. So a slice has two writers only if one was paused, and then fences tell.
"""

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True)
class Epoch:
    """One division: `owners[slice]` is a manager's number, `fences[slice]` the epoch that gave it the slice."""

    number: int
    owners: tuple
    fences: tuple


class Custody:
    """See the top of this module. Times are microseconds of this process's monotonic clock."""

    def __init__(self, me, managers, slices, lease_us, drift):
        self.me, self.managers, self.slices = me, managers, slices
        self.lease_us, self.patience_us = lease_us, round(lease_us * (1 + drift))
        self.renewed_at, self.seen, self.epoch = None, {}, None
        self.fenced_anew, self.started_at, self.look_from = False, None, 0

    def beat_written(self, at):
        if self.renewed_at is None or at - self.renewed_at >= self.lease_us:
            # The lease had run out: slices may be another's by now, whatever the new lease says.
            self.look_from = at
        self.renewed_at = at if self.renewed_at is None else max(self.renewed_at, at)
        self.started_at = at if self.started_at is None else self.started_at

    def beat_seen(self, now, manager, beat):
        """A sign of life counts from when this process saw it change: clocks are not compared."""
        held = self.seen.get(manager)
        if held is None:
            # Whether it changed is not known yet: it may be what a dead manager left.
            self.seen[manager] = (beat, None, None)
        elif held[0] != beat:
            alive = held[1] is not None and now - held[1] < self.patience_us
            self.seen[manager] = (beat, now, held[2] if alive else now)

    def epoch_seen(self, epoch):
        if epoch is not None and (self.epoch is None or epoch.number > self.epoch.number):
            self.epoch = epoch

    def looked(self, began):
        if self.look_from is not None and began >= self.look_from:
            self.look_from = None

    def alive(self, manager, now):
        if manager == self.me:
            return self.may_publish(now)
        held = self.seen.get(manager)
        return held is not None and held[1] is not None and now - held[1] < self.patience_us

    def settled(self, manager, now):
        """Alive for a whole lease: one that comes and goes does not get its slices back each time."""
        if manager == self.me:
            return self.may_publish(now)
        return self.alive(manager, now) and now - self.seen[manager][2] >= self.lease_us

    def may_publish(self, now):
        """Whether the own lease runs: a process that stood still must renew, and look whose the slices are by now,
        before it writes anything."""
        return self.renewed_at is not None and self.look_from is None and now - self.renewed_at < self.lease_us

    def mine(self):
        return {} if self.epoch is None else {
            item: self.epoch.fences[item] for item, owner in enumerate(self.epoch.owners) if owner == self.me}

    def home(self, item):
        return item % self.managers

    def _heir(self, item, living):
        """Among those who live, by rendezvous hashing: a dead manager's slices spread over all of them."""
        return min(living, key=lambda m: hashlib.blake2b(f"{item}/{m}".encode(), digest_size=8).digest())

    def proposal(self, now):
        """The next epoch as this manager would have it, or None where nothing is its to change."""
        if not self.may_publish(now) or now - self.started_at < self.patience_us:
            return None  # others may live whose signs were not seen to change yet
        living = [m for m in range(self.managers) if self.alive(m, now)]
        first = living[0] == self.me
        if self.epoch is None:
            if not first:
                return None
            owners = [self.home(item) if self.home(item) in living else self._heir(item, living)
                      for item in range(self.slices)]
            self.fenced_anew = True
            return Epoch(1, tuple(owners), (1,) * self.slices)
        number, owners, fences = self.epoch.number + 1, list(self.epoch.owners), list(self.epoch.fences)
        changed = False
        for item, owner in enumerate(owners):
            home = self.home(item)
            if owner == self.me:
                due = home if home != self.me and self.settled(home, now) else self.me
                # A process that starts fences off the one before it, which may only be paused.
                again = not self.fenced_anew
            elif first and not self.alive(owner, now):
                due, again = home if home in living else self._heir(item, living), False
            else:
                continue
            if due != owner or again:
                owners[item], fences[item], changed = due, number, True
        if not changed:
            self.fenced_anew = True
            return None
        return Epoch(number, tuple(owners), tuple(fences))

    def wrote(self, epoch):
        """The proposal is in the store."""
        self.fenced_anew = True
        self.epoch_seen(epoch)

    def farewell(self, now):
        """The epoch by which a manager that stops gives its slices to those who live, or None."""
        others = [m for m in range(self.managers) if m != self.me and self.alive(m, now)]
        if not others or self.epoch is None or not self.mine() or not self.may_publish(now):
            return None
        number = self.epoch.number + 1
        owners, fences = list(self.epoch.owners), list(self.epoch.fences)
        for item in self.mine():
            owners[item], fences[item] = self._heir(item, others), number
        return Epoch(number, tuple(owners), tuple(fences))
