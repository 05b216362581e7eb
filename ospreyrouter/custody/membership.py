"""Who lives, by the signs of life in the store. No I/O; times are this process's monotonic clock, microseconds.

    members = Membership(me, managers, lease_us, patience_us)
    members.seen(began, now, manager, beat)     # as read by a look that began at `began` and ended at `now`
    members.looked(began)                       # that look has ended well
    members.dead(manager); members.alive(manager, now); members.settled(manager, now); members.state(manager, now)

A sign counts from when it was seen to change: clocks of two machines are not compared. A manager is dead only where a
look that began a whole patience after the last change found nothing new: not having looked proves nothing.
"""

from dataclasses import dataclass

FLAPS_MOST = 6  # each doubles what a manager must live through before slices return to it
CALM_LEASES = 120  # alive for so long, a manager's flaps are forgotten
SUSPECT_PART = 0.5  # of the patience without a change


@dataclass
class Seen:
    beat: object
    changed_at: int | None = None  # None: whether it changes is not known yet, it may be what a dead manager left
    alive_since: int | None = None
    flaps: int = 0
    lost: bool = False


class Membership:
    """See the top of this module."""

    def __init__(self, me, managers, lease_us, patience_us):
        self.me, self.managers, self.lease_us, self.patience_us = me, managers, lease_us, patience_us
        self.rows, self.started_at, self.looked_at = {}, None, None

    def seen(self, began, now, manager, beat):
        row = self.rows.get(manager)
        if row is None:
            self.rows[manager] = Seen(beat)
            return
        if row.beat != beat:
            if row.changed_at is None or row.lost or now - row.changed_at >= self.patience_us:
                if row.changed_at is not None:
                    row.flaps = min(FLAPS_MOST, row.flaps + 1)
                row.alive_since = now
            elif now - row.alive_since > CALM_LEASES * self.lease_us:
                row.flaps = 0
            row.beat, row.changed_at, row.lost = beat, now, False
        elif row.changed_at is not None and began - row.changed_at >= self.patience_us:
            row.lost = True

    def looked(self, began):
        self.started_at = began if self.started_at is None else self.started_at
        self.looked_at = began if self.looked_at is None else max(self.looked_at, began)

    def watched(self):
        """Whether so much time was looked at that a manager never seen to change is dead."""
        return self.looked_at is not None and self.looked_at - self.started_at >= self.patience_us

    def dead(self, manager):
        """Proven: its lease has run out by its own clock too."""
        row = self.rows.get(manager)
        if row is None or row.changed_at is None:
            return self.watched()
        return row.lost

    def alive(self, manager, now):
        row = self.rows.get(manager)
        return (
            row is not None and row.changed_at is not None and not row.lost and now - row.changed_at < self.patience_us
        )

    def due(self, now):
        """When a look could next find someone dead, or None: a look at that moment spares waiting for the usual one."""
        times = [
            row.changed_at + self.patience_us
            for row in self.rows.values()
            if row.changed_at is not None and not row.lost
        ]
        return max(now, min(times)) if times else None

    def hold_us(self, manager):
        """What it must live through before slices return: longer each time it came and went."""
        return self.lease_us << self.rows[manager].flaps

    def settled(self, manager, now):
        return self.alive(manager, now) and now - self.rows[manager].alive_since >= self.hold_us(manager)

    def state(self, manager, now):
        """For people: "up", "suspected", "returning", "lost" or "unknown"."""
        row = self.rows.get(manager)
        if row is None or row.changed_at is None:
            return "lost" if self.dead(manager) else "unknown"
        if row.lost:
            return "lost"
        if now - row.changed_at >= self.patience_us * SUSPECT_PART:
            return "suspected"
        return "up" if self.settled(manager, now) else "returning"
