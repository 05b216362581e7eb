"""Which change was done: `ChangeBook`. No I/O; whoever owns the state that changes says how a change is undone.

    book = ChangeBook()
    known = book.find(caller, key, digest)          # a repeat: answer as before, do nothing
    book.enter(Change(caller, key, digest, subjects, effect, answer, undo), then)
    rows = book.batch()                             # to be stored in one write; None while one is under way
    for then, change in book.stored(): then(change) # or book.failed(): undone, and then(None)
    book.ask(caller, key)                           # "took effect", "did not" or "waiting", and the answer

A change is in force when it is entered and is answered when it is stored: one that was answered is never lost, and one
that was not is found by its key, or was never done. Where the store refuses, all that waits is taken back, newest first.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any, Callable

KEYS_MOST = 64  # of one caller; more have no use: a caller asks about what was cut off
CALLERS_MOST = 10_000

TOOK_EFFECT, DID_NOT, WAITING = "took effect", "did not", "waiting"


@dataclass
class Change:
    """`subjects` are what it touches: a later change of one of them makes a repeat of this one a change of its own."""

    caller: str
    key: str
    digest: str
    subjects: frozenset
    effect: Any  # what the store keeps, and what is done again after a restart
    answer: Any = None
    undo: Callable = lambda: None
    state: str = WAITING
    overtaken: bool = False
    then: list = field(default_factory=list)


class ChangeBook:
    """See the top of this module."""

    def __init__(self, keys_most=KEYS_MOST, callers_most=CALLERS_MOST):
        self.keys_most, self.callers_most = keys_most, callers_most
        self.callers = OrderedDict()  # {caller: OrderedDict(key: Change)}, the one that changed last at the end
        self.waiting, self.writing = [], []
        self.repeats = self.undone = 0

    def find(self, caller, key, digest):
        """The change of which this is a repeat, or None. The same key with another content is another change: numbers
        wrap, and a caller that starts anew may count from one."""
        change = self.callers.get(caller, {}).get(key)
        if change is None or change.digest != digest or change.overtaken:
            return None
        self.repeats += 1
        return change

    def enter(self, change, then):
        """A change that is in force from now on; `then` is handed back when it is stored or taken back."""
        change.then.append(then)
        self._keep(change)
        self.waiting.append(change)

    def _keep(self, change):
        rows = self.callers.setdefault(change.caller, OrderedDict())
        for older in rows.values():
            older.overtaken = older.overtaken or bool(older.subjects & change.subjects)
        rows.pop(change.key, None)
        rows[change.key] = change
        self.callers.move_to_end(change.caller)
        self._bound(rows)

    def _bound(self, rows):
        # Only what is stored is forgotten: of the rest somebody still waits for the end.
        if len(rows) > self.keys_most:
            first = next(iter(rows))
            if rows[first].state == TOOK_EFFECT:
                del rows[first]
        if len(self.callers) > self.callers_most:
            first = next(iter(self.callers))
            if all(row.state == TOOK_EFFECT for row in self.callers[first].values()):
                del self.callers[first]

    def batch(self):
        """Changes to be stored now, in order; None where there are none or a write is under way."""
        if self.writing or not self.waiting:
            return None
        self.writing, self.waiting = self.waiting, []
        return list(self.writing)

    def stored(self):
        """The write under way has ended well: [(then, change)] of those that waited for it."""
        done, self.writing = self.writing, []
        out = []
        for change in done:
            change.state, change.undo = TOOK_EFFECT, None
            out += [(then, change) for then in change.then]
            change.then = []
        return out

    def failed(self):
        """The store refused: whatever is not stored is undone, as later changes stand on earlier ones."""
        gone, self.writing, self.waiting = [*self.writing, *self.waiting], [], []
        out = []
        for change in reversed(gone):
            change.undo()
            self.undone += 1
            rows = self.callers.get(change.caller, {})
            if rows.get(change.key) is change:
                del rows[change.key]
            if not rows:
                self.callers.pop(change.caller, None)
        for change in gone:
            out += [(then, None) for then in change.then]
        return out

    def ask(self, caller, key):
        """(state, answer). "did not" holds for good once the caller's connection of then is cut."""
        change = self.callers.get(caller, {}).get(key)
        return (DID_NOT, None) if change is None else (change.state, change.answer)

    def wait(self, caller, key, then):
        """Be told when a change that is being stored has ended."""
        self.callers[caller][key].then.append(then)

    # What outlives a restart.

    def restore(self, change):
        """A change as the store has it; its effect is its owner's to do again."""
        change.state = TOOK_EFFECT
        self._keep(change)

    def remembered(self):
        """All stored changes, each caller's in order, for a log that is written anew."""
        return [change for rows in self.callers.values() for change in rows.values() if change.state == TOOK_EFFECT]
