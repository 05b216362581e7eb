"""A change that a caller asked for, and what is known of it: `Change`. Both libraries give it back from `drain`.

    change = follower.drain(worker)
    change.state        # "sent", then "took effect", "did not", or "unknown" where the answer was cut off
    change.key          # by which it can be asked about
    follower.ask(change); follower.repeat(change)     # of an unknown one; a repeat has no second effect

What the caller itself picks changes at once, whatever becomes of the change: the state tells whether the managers keep
it, so that it still holds when this caller starts anew.
"""

SENT, TOOK_EFFECT, DID_NOT, UNKNOWN = "sent", "took effect", "did not", "unknown"


class Change:
    """`parts` has a state for each manager that was told, by (place, key)."""

    def __init__(self, worker, on):
        self.worker, self.on, self.parts, self.bodies = worker, on, {}, {}

    @property
    def state(self):
        """The least certain of all parts; "did not" where any manager refused, and where none could be told."""
        for state in (UNKNOWN, SENT, DID_NOT):
            if state in self.parts.values():
                return state
        return TOOK_EFFECT if self.parts else DID_NOT

    @property
    def key(self):
        return " ".join(f"{place}/{key}" for place, key in sorted(self.parts))

    def became(self, place, key, state):
        if (place, key) in self.parts:
            self.parts[place, key] = state

    def cut_off(self, place):
        """The connection to a manager broke: of what it had not answered nothing is known."""
        for part, state in self.parts.items():
            if part[0] == place and state == SENT:
                self.parts[part] = UNKNOWN

    def unknown(self, place=None):
        return [part for part, state in self.parts.items() if state == UNKNOWN and place in (None, part[0])]
