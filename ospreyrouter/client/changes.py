"""The outcome of a drain that a caller requested: `Change`, which both libraries return from `drain`.

    change = follower.drain(worker)
    change.state                     # "sent", then "took effect", "did not", or "unknown" (connection lost)
    change.key                       # identifies the change at the managers
    follower.ask(change)             # asks for an unknown outcome
    follower.repeat(change)          # sends the change again; it has no second effect

The caller itself stops or resumes picking the worker at once, whatever the outcome. The state tells whether the
managers store the drain, so that it still holds after this caller restarts.
"""

SENT, TOOK_EFFECT, DID_NOT, UNKNOWN = "sent", "took effect", "did not", "unknown"


class Change:
    """A requested drain.

    `parts` has the state of each request that was sent, and `bodies` its bytes, by (manager index, key).
    """

    def __init__(self, worker, on):
        self.worker, self.on, self.parts, self.bodies = worker, on, {}, {}

    @property
    def state(self):
        """The state of the least certain part; "did not" if a manager refused, or if nothing could be sent."""
        for state in (UNKNOWN, SENT, DID_NOT):
            if state in self.parts.values():
                return state
        return TOOK_EFFECT if self.parts else DID_NOT

    @property
    def key(self):
        """The keys of all parts as text."""
        return " ".join(f"{manager_index}/{key}" for manager_index, key in sorted(self.parts))

    def set_state(self, manager_index, key, state):
        """Sets the state of a part; a part that was removed is ignored."""
        if (manager_index, key) in self.parts:
            self.parts[manager_index, key] = state

    def connection_lost(self, manager_index):
        """Marks all parts that a manager has not answered as unknown."""
        for part, state in self.parts.items():
            if part[0] == manager_index and state == SENT:
                self.parts[part] = UNKNOWN

    def unknown(self, manager_index=None):
        """Returns the (manager index, key) of all parts with unknown state, of one manager or of all."""
        return [part for part, state in self.parts.items() if state == UNKNOWN and manager_index in (None, part[0])]
