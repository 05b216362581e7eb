"""Records which changes were applied: `ChangeRegistry`. No I/O; the owner of the changed state supplies the undo.

    registry = ChangeRegistry()
    if registry.answer_if_repeated(caller, key, digest, callback): ...  # a repeat gets the outcome of the first request
    registry.add(Change(caller, key, digest, subjects, effect, answer, undo), callback)
    changes = registry.next_batch()                             # to store in one write; None while a write is pending
    for callback, change in registry.batch_stored(): callback(change)
    for callback, change in registry.batch_failed(): callback(change)   # undone; change is None
    registry.query_outcome(caller, key, callback)               # an unknown key is closed from then on

A change is in force from `add` on and is answered once it is stored. A change that was answered is therefore never
lost; one that was not answered is either found by its key or was never applied. Asking about an unknown key closes that
key: the change may still be on its way on another connection and is rejected when it arrives, so that the answer "did
not" stays true. If the store fails, all changes that are not stored yet are undone, newest first.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MAX_KEYS_PER_CALLER = 64  # more have no use: a caller only asks about changes whose answers were cut off
MAX_CALLERS = 10_000

MAX_CLOSED_KEYS = 10_000

TOOK_EFFECT, DID_NOT, WAITING = "took effect", "did not", "waiting"


class ChangeClosed(Exception):
    """The caller of this change has already received the answer that it was not applied."""


@dataclass
class Change:
    """One change of one caller.

    `subjects` are the names of what it affects: after a later change of one of them, a repeat of this change counts as
    a new change. `digest` identifies the content of the request, `answer` is the answer that the caller gets.
    """

    caller: str
    key: str
    digest: str
    subjects: frozenset
    effect: Any  # what the store keeps, and what is applied again after a restart
    answer: Any = None
    undo: Callable = lambda: None
    state: str = WAITING
    callbacks: list = field(default_factory=list)


class ChangeRegistry:
    """The changes of all callers, bounded by `max_keys` changes a caller and by `max_callers` callers."""

    def __init__(self, max_keys=MAX_KEYS_PER_CALLER, max_callers=MAX_CALLERS):
        self.max_keys, self.max_callers = max_keys, max_callers
        self.callers = OrderedDict()  # {caller: OrderedDict(key: Change)}, the most recently changed caller last
        self.waiting, self.writing, self.closed = [], [], OrderedDict()
        self.repeat_count = self.undone_count = 0

    def find_repeat(self, caller, key, digest):
        """Returns the change that such a request repeats, or None.

        The same key with another digest is another change: numbers wrap, and a restarted caller may count from one
        again. A request is also a new change if a subject of the earlier one was changed since.
        """
        changes = self.callers.get(caller, {})
        change = changes.get(key)
        if change is None or change.digest != digest:
            return None
        later = list(changes.values())
        later = later[later.index(change) + 1 :]
        return None if any(other.subjects & change.subjects for other in later) else change

    def answer_if_repeated(self, caller, key, digest, callback):
        """Returns whether the request repeats a change; if so, `callback(change)` is called at once, or
        `callback(change or None)` when the pending change ends. Raises ChangeClosed for a closed key.
        """
        if (caller, key) in self.closed:
            raise ChangeClosed(key)
        change = self.find_repeat(caller, key, digest)
        if change is None:
            return False
        self.repeat_count += 1
        self._call_when_ended(change, callback)
        return True

    @staticmethod
    def _call_when_ended(change, callback):
        if change.state == WAITING:
            change.callbacks.append(callback)
        else:
            callback(change)

    def add(self, change, callback):
        """Adds a change that is in force from now on; `callback` is returned by `batch_stored` or `batch_failed`."""
        change.callbacks.append(callback)
        self._insert(change)
        self.waiting.append(change)

    def _insert(self, change):
        changes = self.callers.setdefault(change.caller, OrderedDict())
        changes.pop(change.key, None)
        changes[change.key] = change
        self.callers.move_to_end(change.caller)
        self._enforce_bounds(changes)

    def _enforce_bounds(self, changes):
        # Only stored changes are dropped: callers still wait for the outcome of the others.
        if len(changes) > self.max_keys:
            oldest = next(iter(changes))
            if changes[oldest].state == TOOK_EFFECT:
                del changes[oldest]
        if len(self.callers) > self.max_callers:
            oldest = next(iter(self.callers))
            if all(change.state == TOOK_EFFECT for change in self.callers[oldest].values()):
                del self.callers[oldest]

    def next_batch(self):
        """Returns the changes to store now, in order; None if there are none or a write is pending."""
        if self.writing or not self.waiting:
            return None
        self.writing, self.waiting = self.waiting, []
        return list(self.writing)

    def batch_stored(self):
        """Marks the batch being written as stored. Returns [(callback, change)] to call."""
        stored, self.writing = self.writing, []
        calls = []
        for change in stored:
            change.state, change.undo = TOOK_EFFECT, None
            calls += [(callback, change) for callback in change.callbacks]
            change.callbacks = []
        return calls

    def batch_failed(self):
        """Undoes every change that is not stored, also those not yet written, as later changes build on earlier ones.

        Returns [(callback, None)] to call.
        """
        failed, self.writing, self.waiting = [*self.writing, *self.waiting], [], []
        calls = []
        for change in reversed(failed):
            change.undo()
            self.undone_count += 1
            changes = self.callers.get(change.caller, {})
            if changes.get(change.key) is change:
                del changes[change.key]
            if not changes:
                self.callers.pop(change.caller, None)
        for change in failed:
            calls += [(callback, None) for callback in change.callbacks]
        return calls

    def query_outcome(self, caller, key, callback):
        """Calls `callback(change)`, or `callback(None)` if the change was not applied and never will be.

        Closed keys are kept in memory only: the connections on which such a change could still arrive end with this
        process.
        """
        change = self.callers.get(caller, {}).get(key)
        if change is not None:
            self._call_when_ended(change, callback)
            return
        self.closed[caller, key] = None
        if len(self.closed) > MAX_CLOSED_KEYS:
            self.closed.popitem(last=False)
        callback(None)

    # Persistence across restarts.

    def restore(self, change):
        """Adds a change read from the store; applying its effect again is up to the owner of the state."""
        change.state = TOOK_EFFECT
        self._insert(change)

    def stored_changes(self):
        """Returns all stored changes, each caller's in order, for rewriting the log."""
        return [
            change for changes in self.callers.values() for change in changes.values() if change.state == TOOK_EFFECT
        ]
