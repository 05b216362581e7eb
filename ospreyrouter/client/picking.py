"""Common part of both libraries: tables of integer weights, and random picks by weight."""

from abc import ABC, abstractmethod
from random import Random

from ..advice import apportion_weights
from .changes import SENT, UNKNOWN, Change

MAX_PENDING_CHANGES = 1_000  # changes with an open outcome that are remembered


class Picker(ABC):
    """Base class of both libraries.

    `tables` is {slice: {worker: weight}} with integer weights that sum up to 10,000, like those sent over SASP.
    `drained` has the workers that this caller drains.
    """

    def __init__(self, seed=None):
        self.rng, self.tables, self.drained, self.listeners, self.changes = Random(seed), {}, set(), [], []

    def weights(self, slice_index):
        """Returns {worker: weight} of a slice without drained workers; empty for an unknown slice."""
        table = self.tables.get(slice_index, {})
        return {worker: weight for worker, weight in table.items() if weight > 0 and worker not in self.drained}

    def pick(self, slice_index):
        """Returns a worker of a slice at random by weight, or None."""
        table = self.weights(slice_index)
        if not table:
            return None
        workers = sorted(table)
        return self.rng.choices(workers, [table[worker] for worker in workers])[0]

    def drain(self, worker, on=True):
        """Stops (or with `on` False resumes) picking a worker, for this caller only. Returns a `Change`."""
        (self.drained.add if on else self.drained.discard)(worker)
        change = Change(worker, on)
        self.changes = [pending for pending in self.changes if pending.state in (SENT, UNKNOWN)][
            -MAX_PENDING_CHANGES:
        ] + [change]
        self._send_drain(change)
        return change

    @abstractmethod
    def _send_drain(self, change):
        """Sends a change to the managers."""

    @abstractmethod
    def ask(self, change):
        """Asks the managers for the outcome of the unknown parts of a change."""

    @abstractmethod
    def repeat(self, change):
        """Sends unknown parts again with the same keys, and parts that did not take effect with new keys.

        A change takes effect at most once.
        """

    def subscribe(self, callback):
        """Calls `callback(slice, weights)` after each change of a table."""
        self.listeners.append(callback)

    def set_table(self, slice_index, table):
        """Replaces a slice's table of weights and calls the subscribers if it differs."""
        if self.tables.get(slice_index) != table:
            self.tables[slice_index] = table
            for callback in list(self.listeners):
                callback(slice_index, self.weights(slice_index))

    def set_shares(self, slice_index, shares):
        """Replaces a slice's table by the integer weights of {worker: share}."""
        self.set_table(slice_index, apportion_weights(shares, self.tables.get(slice_index)))
