"""The own lease, and what follows: what may be published, and which division to write next. Decisions only.

    custody = Custody(me, managers, slices, lease_us, drift)
    custody.beat_written(began, now)           # own sign of life is in the store; begun at `began`, known at `now`
    custody.beat_seen(began, now, other, beat) # another's sign as a look from `began` to `now` found it
    custody.epoch_seen(epoch, now)             # the newest division in the store
    custody.looked(began, now)                 # that look has ended well
    if custody.may_publish(now): ...           # checked before every effect
    epoch = custody.proposal(now)              # a division to be written as the next one, or None
    custody.wrote(epoch, now); custody.doubtful(now)   # it was written; or whether it was is not known

Managers cannot speak to each other. They agree by numbered epochs: each is a whole division of the slices, and the
store lets only one writer create a number. The number is the fence of all its owners.

Why a slice has one publisher at a time, however slow the store, as long as clocks drift less than stated:
- The lease runs from before a sign of life was written, and only while the store was looked at within it as well: one
  that can write but not read does not go on by an old division. Where the lease ran out before the sign was known to be
  written, the store is looked at anew first.
- A manager is dead where a look that began a patience after its last change found nothing new.
- What was taken from the dead is published after another look, begun when the division was known to be written, that
  finds them dead still; else after a patience. A victim that came back before the writing shows by its sign and goes
  on until it looks, a lease at most; one that comes back after it sees the division first.
- What is given is published no more from before the division is written, and if the answer was lost, until a look
  tells whether it was.
"""

import hashlib

from .dealing import GIVEN, Epoch, deal, usual
from .membership import Membership

RETURN_STEPS = 4  # a returning manager gets its slices back in so many portions, a lease apart


class Custody:
    """See the top of this module. Times are microseconds of this process's monotonic clock."""

    def __init__(self, me, managers, slices, lease_us, drift):
        self.me, self.managers, self.slices = me, managers, slices
        self.lease_us, self.patience_us = lease_us, round(lease_us * (1 + drift))
        self.members = Membership(me, managers, lease_us, self.patience_us)
        self.renewed_at, self.looked_at, self.epoch = None, None, None
        self.fenced_anew, self.started_at, self.look_from = False, None, 0
        self.giving, self.given_at, self.doubt_from = frozenset(), None, None
        self.waits = {}  # {slice: (victim or None, known at)} of what was taken and is not published yet
        self.held_out = frozenset()
        self.first_number, self.idle, self.lost_races = None, None, 0
        self.known_at = [0] * slices  # when the division that gave a slice to its owner was first seen here

    def beat_written(self, began, now):
        if self.renewed_at is None or now - self.renewed_at >= self.lease_us:
            # The lease had run out: slices may be another's by now, whatever the new lease says.
            self.look_from = now
        self.renewed_at = began if self.renewed_at is None else max(self.renewed_at, began)
        self.started_at = began if self.started_at is None else self.started_at

    def beat_seen(self, began, now, manager, beat):
        self.members.seen(began, now, manager, beat)

    def epoch_seen(self, epoch, now):
        if epoch is None or self.epoch is not None and epoch.number <= self.epoch.number:
            return
        before, self.epoch = self.epoch, epoch
        for item, (owner, fence, victim) in enumerate(zip(epoch.owners, epoch.fences, epoch.past)):
            if before is not None and fence == before.fences[item]:
                continue  # nothing about it changed
            if owner != self.me or victim == GIVEN:
                self.waits.pop(item, None)
            if owner == self.me and victim != GIVEN:
                # The victim may itself have taken it, from one that was not known to be gone: then time alone tells,
                # unless so much has passed since that this one has looked, or stopped.
                exact = (
                    before is not None
                    and before.owners[item] == victim
                    and (before.past[item] == GIVEN or now - self.known_at[item] >= self.patience_us)
                )
                self.waits[item] = (victim if exact else None, now)
            self.known_at[item] = now

    def looked(self, began, now):
        self.members.looked(began)
        if self.first_number is None:
            self.first_number = 0 if self.epoch is None else self.epoch.number
        self.looked_at = began if self.looked_at is None else max(self.looked_at, began)
        if self.look_from is not None and began >= self.look_from:
            self.look_from = None
        if self.doubt_from is not None and began >= self.doubt_from:
            # Whether the division was written is known now: it was seen, or it is not there.
            self.doubt_from, self.giving = None, frozenset()
        for item, (victim, known_at) in list(self.waits.items()):
            if (
                began >= known_at
                and victim is not None
                and self.members.dead(victim)
                or now - known_at >= self.patience_us
            ):
                del self.waits[item]

    def orders_seen(self, held_out):
        """Managers that operators hold out: they have no slices."""
        self.held_out = frozenset(held_out)

    def alive(self, manager, now):
        return self.may_publish(now) if manager == self.me else self.members.alive(manager, now)

    def may_publish(self, now):
        """Whether the own lease runs: a process that stood still, or whose store does, must renew and look whose the
        slices are by now before it writes anything."""
        return (
            self.renewed_at is not None
            and self.look_from is None
            and now - self.renewed_at < self.lease_us
            and self.looked_at is not None
            and now - self.looked_at < self.lease_us
        )

    def mine(self):
        """{slice: fence} of what this manager is in charge of."""
        return (
            {}
            if self.epoch is None
            else {
                item: self.epoch.fences[item]
                for item, owner in enumerate(self.epoch.owners)
                if owner == self.me and item not in self.waits
            }
        )

    def publishes(self, now):
        """Slices of which it may write just now."""
        return self.mine().keys() - self.giving if self.may_publish(now) else set()

    def owned(self):
        """All that the newest division gives to this manager, also what still waits."""
        return (
            set() if self.epoch is None else {item for item, owner in enumerate(self.epoch.owners) if owner == self.me}
        )

    def proposal(self, now):
        """The next epoch as this manager would have it, or None where nothing is its to change. What it gives away is
        in force from here on: it is published no more."""
        if self.doubt_from is not None or not self.may_publish(now) or not self.members.watched():
            return None  # others may live whose signs were not seen to change yet
        living = [m for m in range(self.managers) if self.alive(m, now)]
        first = living[0] == self.me
        if (
            self.epoch is not None
            and not self.fenced_anew
            and all(fence > self.first_number for fence in self.mine().values())
        ):
            self.fenced_anew = True  # all was given since this process started: the one before it never had it
        if self.epoch is None:
            if not first:
                return None
            may_have = [m for m in living if m not in self.held_out] or living
            self.fenced_anew = True
            return Epoch(
                1,
                tuple(usual(item, self.managers, may_have) for item in range(self.slices)),
                (1,) * self.slices,
                (GIVEN,) * self.slices,
            )
        number, fences, past = self.epoch.number + 1, list(self.epoch.fences), list(self.epoch.past)
        orphans = {owner for owner in set(self.epoch.owners) if owner != self.me and self.members.dead(owner)}
        settled = [m for m in living if m != self.me and self.members.settled(m, now)]
        # Givers keep out of the way of takeovers: of all who write a number at once, one does.
        waits = orphans or self.given_at is not None and now - self.given_at < self.lease_us
        step = 0 if waits else self._step()
        weighed = (self.epoch.number, living, settled, orphans, self.held_out, step, self.fenced_anew)
        if weighed == self.idle:
            return None  # nothing has changed since there was nothing to do
        owners = deal(
            self.epoch,
            self.me,
            self.managers,
            living,
            lambda m: self.members.settled(m, now),
            self.members.dead,
            self.held_out,
            first,
            step,
        )
        # A process that starts fences off the one before it, which may only be paused.
        again = set() if self.fenced_anew else {item for item in self.owned() if owners[item] == self.me}
        moved = {item for item in range(self.slices) if owners[item] != self.epoch.owners[item]}
        if not moved and not again:
            self.fenced_anew = True
            self.idle = weighed[:-1] + (True,)
            return None
        for item in moved | again:
            fences[item] = number
            past[item] = GIVEN if self.epoch.owners[item] == self.me else self.epoch.owners[item]
        self.giving = frozenset(item for item in moved if self.epoch.owners[item] == self.me)
        return Epoch(number, tuple(owners), tuple(fences), tuple(past))

    def _step(self):
        return max(1, -(-self.slices // (self.managers * RETURN_STEPS)))

    def wrote(self, epoch, now):
        """The proposal is in the store."""
        if self.giving:
            self.given_at = now
        self.fenced_anew, self.giving, self.lost_races = True, frozenset(), 0
        self.epoch_seen(epoch, now)

    def refused(self):
        """Another wrote that number first, and nothing was written. Returns how soon after the next look to try again:
        so many try at once that each needs a moment of its own."""
        self.giving, self.lost_races = frozenset(), self.lost_races + 1
        draw = hashlib.blake2b(f"{self.me}/{self.lost_races}/{self.epoch.number}".encode(), digest_size=4).digest()
        return int.from_bytes(draw, "big") * self.lease_us // 8 >> 32

    def doubtful(self, now):
        """The store gave no answer, or a problem: the proposal may be in it all the same. What it gives is not
        published until a look tells."""
        self.doubt_from = now

    def farewell(self, now):
        """The epoch by which a manager that stops gives its slices to those who live, or None."""
        others = [m for m in range(self.managers) if m != self.me and self.alive(m, now)]
        others = [m for m in others if m not in self.held_out] or others
        mine = self.owned()
        if not others or not mine or not self.may_publish(now):
            return None
        number = self.epoch.number + 1
        owners, fences, past = list(self.epoch.owners), list(self.epoch.fences), list(self.epoch.past)
        for item in mine:
            # What still waits is passed on as it was taken.
            owners[item], fences[item] = usual(item, self.managers, others), number
            past[item] = GIVEN if item not in self.waits else past[item]
        self.giving = frozenset(mine)
        return Epoch(number, tuple(owners), tuple(fences), tuple(past))
