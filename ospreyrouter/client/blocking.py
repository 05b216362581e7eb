"""Wraps either library for blocking code: `Blocking(lambda loop: FileFollower(loop, folder))`."""

from ..loop import Loop
from .changes import SENT, UNKNOWN

MAX_TURN_US = 20_000  # longest turn of the loop while waiting
ASK_INTERVAL_S = 0.3  # between two questions about a change with unknown outcome


class Blocking:
    """Has the calls of the library that `make(loop)` returns.

    `pick` and `weights` run the loop for 1 ms first, so that updates that arrived are applied.
    """

    def __init__(self, make):
        self.loop = Loop()
        self.follower = make(self.loop)

    def wait(self, seconds, until=lambda: False):
        """Runs the loop for `seconds` or until `until()` is true; returns the last value of `until()`."""
        end = self.loop.now() + round(seconds * 1e6)
        while self.loop.now() < end and not until():
            self.loop.turn(min(end, self.loop.now() + MAX_TURN_US))
        return until()

    def pick(self, slice_index):
        """Returns a worker of a slice at random by weight, or None."""
        self.wait(0.001)
        return self.follower.pick(slice_index)

    def weights(self, slice_index):
        """Returns {worker: weight} of a slice."""
        self.wait(0.001)
        return self.follower.weights(slice_index)

    def drain(self, worker, on=True):
        """Stops or resumes picking a worker; returns a `Change`."""
        return self.follower.drain(worker, on)

    def ask(self, change):
        """Asks the managers for the outcome of the unknown parts of a change."""
        self.follower.ask(change)

    def repeat(self, change):
        """Sends a change again where its outcome is unknown or it did not take effect."""
        self.follower.repeat(change)

    def settle(self, change, seconds=5.0):
        """Waits up to `seconds` until the outcome of a change is known, asking for it; returns the change's state."""
        end = self.loop.now() + round(seconds * 1e6)
        while change.state in (SENT, UNKNOWN) and self.loop.now() < end:
            if change.state == UNKNOWN:
                self.follower.ask(change)
            self.wait(ASK_INTERVAL_S, lambda: change.state not in (SENT, UNKNOWN))
        return change.state

    def subscribe(self, callback):
        """Calls `callback(slice, weights)` after each change of a table, while the loop runs."""
        self.follower.subscribe(callback)

    def close(self):
        """Closes the library's connections."""
        self.follower.close()
        self.wait(0.01)
