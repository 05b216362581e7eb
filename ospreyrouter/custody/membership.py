"""Which managers are alive, by the heartbeats in the store. No I/O; times are microseconds of this process's monotonic
clock.

    members = Membership(own_index, manager_count, lease_us, death_timeout_us)
    members.record_heartbeat(began, now, manager, heartbeat)     # as read by a check from `began` to `now`
    members.check_completed(began)                               # that check was successful
    members.is_dead(manager); members.is_alive(manager, now); members.is_settled(manager, now)
    members.state(manager, now)

A heartbeat counts from the moment at which it was seen to change; clocks of two machines are never compared. A manager
is dead only if a check that began at least the death timeout after its last change found no change: the absence of
checks proves nothing.
"""

from dataclasses import dataclass

MAX_FLAPS = 6  # each flap doubles the time that a manager must stay alive before slices return to it
CALM_LEASES = 120  # after this many leases alive, a manager's flaps are forgotten
SUSPECT_FRACTION = 0.5  # of the death timeout without a change


@dataclass
class HeartbeatRecord:
    """What is known of one manager; times in microseconds. `flaps` counts how often it returned after being lost."""

    heartbeat: object
    changed_at: int | None = None  # None: never seen to change, so it may be what a dead manager left
    alive_since: int | None = None
    flaps: int = 0
    lost: bool = False


class Membership:
    """The other managers as one manager sees them; see the top of this module."""

    def __init__(self, own_index, manager_count, lease_us, death_timeout_us):
        self.own_index, self.manager_count, self.lease_us, self.death_timeout_us = (
            own_index,
            manager_count,
            lease_us,
            death_timeout_us,
        )
        self.records, self.started_at, self.last_check_at = {}, None, None

    def record_heartbeat(self, began, now, manager, heartbeat):
        """Records a manager's heartbeat, as found by a check of the store from `began` to `now`."""
        record = self.records.get(manager)
        if record is None:
            self.records[manager] = HeartbeatRecord(heartbeat)
            return
        if record.heartbeat != heartbeat:
            if record.changed_at is None or record.lost or now - record.changed_at >= self.death_timeout_us:
                if record.changed_at is not None:
                    record.flaps = min(MAX_FLAPS, record.flaps + 1)
                record.alive_since = now
            elif now - record.alive_since > CALM_LEASES * self.lease_us:
                record.flaps = 0
            record.heartbeat, record.changed_at, record.lost = heartbeat, now, False
        elif record.changed_at is not None and began - record.changed_at >= self.death_timeout_us:
            record.lost = True

    def check_completed(self, began):
        """A check of all heartbeats that began at `began` was successful."""
        self.started_at = began if self.started_at is None else self.started_at
        self.last_check_at = began if self.last_check_at is None else max(self.last_check_at, began)

    def observed_long_enough(self):
        """Whether checks span the death timeout, so that a manager never seen to change is dead."""
        return self.last_check_at is not None and self.last_check_at - self.started_at >= self.death_timeout_us

    def is_dead(self, manager):
        """Whether a manager is proven dead: its lease has expired by its own clock, too."""
        record = self.records.get(manager)
        if record is None or record.changed_at is None:
            return self.observed_long_enough()
        return record.lost

    def is_alive(self, manager, now):
        """Whether a manager's heartbeat was seen to change within the death timeout."""
        record = self.records.get(manager)
        return (
            record is not None
            and record.changed_at is not None
            and not record.lost
            and now - record.changed_at < self.death_timeout_us
        )

    def next_expiry(self, now):
        """Returns the earliest time at which a check could find a manager dead, or None.

        A check at that time is faster than waiting for the next periodic one.
        """
        times = [
            record.changed_at + self.death_timeout_us
            for record in self.records.values()
            if record.changed_at is not None and not record.lost
        ]
        return max(now, min(times)) if times else None

    def hold_us(self, manager):
        """How long a manager must be alive before slices return to it; doubles with each flap."""
        return self.lease_us << self.records[manager].flaps

    def is_settled(self, manager, now):
        """Whether a manager has been alive for long enough that slices may return to it."""
        return self.is_alive(manager, now) and now - self.records[manager].alive_since >= self.hold_us(manager)

    def state(self, manager, now):
        """Returns the state for display: "up", "suspected", "returning", "lost" or "unknown"."""
        record = self.records.get(manager)
        if record is None or record.changed_at is None:
            return "lost" if self.is_dead(manager) else "unknown"
        if record.lost:
            return "lost"
        if now - record.changed_at >= self.death_timeout_us * SUSPECT_FRACTION:
            return "suspected"
        return "up" if self.is_settled(manager, now) else "returning"
