"""Limits the rate of connections and messages, and orders the balancers to push to. No I/O; the clock is an argument.

Times are microseconds.
"""


class TokenBucket:
    """Admits `per_s` events a second and bursts of up to `burst`.

    Limits new connections, so that a reconnection storm after a restart does not delay the balancers already served,
    and the messages of one connection.
    """

    def __init__(self, per_s, burst):
        self.per_s, self.burst, self.tokens, self.updated_us = per_s, burst, float(burst), None

    def admit(self, now):
        """Takes a token; returns False if there is none."""
        if self.updated_us is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.updated_us) * self.per_s / 1e6)
        self.updated_us = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class PushQueue:
    """Balancers with a push due, first in first out; those that may still send to a draining worker come first."""

    def __init__(self):
        self.waiting, self.urgent = {}, {}

    def add(self, balancer_name, urgent=False):
        """Adds a balancer once; an urgent one moves to the urgent queue."""
        if urgent:
            self.waiting.pop(balancer_name, None)
            self.urgent[balancer_name] = None
        elif balancer_name not in self.urgent:
            self.waiting[balancer_name] = None

    def next(self):
        """Removes and returns the next balancer, or returns None."""
        for queue in (self.urgent, self.waiting):
            if queue:
                balancer_name = next(iter(queue))
                del queue[balancer_name]
                return balancer_name
        return None

    def remove(self, balancer_name):
        """Removes a balancer from both queues."""
        self.waiting.pop(balancer_name, None)
        self.urgent.pop(balancer_name, None)
