"""Either library for plain blocking code: `Blocking(lambda loop: FileFollower(loop, folder))`."""

from ..loop import Loop
from .changes import SENT, UNKNOWN

TURN_US = 20_000
ASK_S = 0.3


class Blocking:
    """The same calls; each turns the loop for a moment first, so that what has come is known."""

    def __init__(self, make):
        self.loop = Loop()
        self.follower = make(self.loop)

    def wait(self, seconds, until=lambda: False):
        """Turn the loop for so long, or until `until()`; returns whether it held."""
        end = self.loop.now() + round(seconds * 1e6)
        while self.loop.now() < end and not until():
            self.loop.turn(min(end, self.loop.now() + TURN_US))
        return until()

    def pick(self, item):
        self.wait(0.001)
        return self.follower.pick(item)

    def weights(self, item):
        self.wait(0.001)
        return self.follower.weights(item)

    def drain(self, worker, on=True):
        return self.follower.drain(worker, on)

    def ask(self, change):
        self.follower.ask(change)

    def repeat(self, change):
        self.follower.repeat(change)

    def settle(self, change, seconds=5.0):
        """Wait until a change is neither sent nor unknown, asking in between; returns its state then."""
        end = self.loop.now() + round(seconds * 1e6)
        while change.state in (SENT, UNKNOWN) and self.loop.now() < end:
            if change.state == UNKNOWN:
                self.follower.ask(change)
            self.wait(ASK_S, lambda: change.state not in (SENT, UNKNOWN))
        return change.state

    def subscribe(self, callback):
        self.follower.subscribe(callback)

    def close(self):
        self.follower.close()
        self.wait(0.01)
