"""Either library for plain blocking code: `Blocking(lambda loop: FileFollower(loop, folder))`."""

from ..loop import Loop

TURN_US = 20_000


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
        self.follower.drain(worker, on)

    def subscribe(self, callback):
        self.follower.subscribe(callback)

    def close(self):
        self.follower.close()
        self.wait(0.01)
