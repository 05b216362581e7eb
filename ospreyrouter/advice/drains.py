"""Tracks for each draining worker whether all balancers stopped sending to it, and how long that took. No I/O.

    watch = DrainWatch(grace_us)
    watch.set_withheld(now, members)                # all members that are withheld now
    for event in watch.check(now, unproven): ...    # unproven(member) -> names of balancers that may still send there

Times are microseconds; the clock is an argument. Events:

- ("proven", member, took_us): no balancer sends to the member any more;
- ("unproven", member, balancers): once, when the grace has passed and balancers may still send to the member;
- ("late", member, took_us): proven, but after the grace.

Balancers acknowledge nothing: a drain counts as proven when the newest weights were written to every balancer and
each of them has read all that was written to it.
"""

from dataclasses import dataclass

OVERDUE_EVERY_US = 1_000_000


@dataclass
class Drain:
    """The drain of one member: its start, and whether it is proven or past the grace (times in us)."""

    started_us: int
    proven: bool = False
    overdue: bool = False
    next_check_us: int = 0


class DrainWatch:
    """Follows the drains of all withheld members; a member that is no longer withheld is dropped.

    `proven` and `overdue` count drains, `longest_us` is the longest time until one was proven.
    """

    def __init__(self, grace_us):
        self.grace_us, self.drains = grace_us, {}
        self.proven = self.overdue = self.longest_us = 0

    def set_withheld(self, now, members):
        """Replaces the set of withheld members; a drain starts for each new one."""
        for member in [member for member in self.drains if member not in members]:
            del self.drains[member]
        for member in members:
            if member not in self.drains:
                self.drains[member] = Drain(now)

    def check(self, now, unproven):
        """Returns the events since the last check; `unproven(member)` lists balancers that may still send to it."""
        events = []
        for member, drain in sorted(self.drains.items()):
            if drain.proven or now < drain.next_check_us:
                continue
            if drain.overdue:
                # Checked less often: a balancer that is gone may never reconnect.
                drain.next_check_us = now + OVERDUE_EVERY_US
            balancers = unproven(member)
            if not balancers:
                drain.proven = True
                took_us = now - drain.started_us
                self.proven, self.longest_us = self.proven + 1, max(self.longest_us, took_us)
                events.append(("late" if drain.overdue else "proven", member, took_us))
            elif now - drain.started_us > self.grace_us and not drain.overdue:
                drain.overdue = True
                self.overdue += 1
                events.append(("unproven", member, balancers))
        return events

    def reopen(self, member):
        """Marks a drain as unproven: a balancer registered the member, or was sent an older table, after the proof."""
        if member in self.drains:
            self.drains[member].proven = False
