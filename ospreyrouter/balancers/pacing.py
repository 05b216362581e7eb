"""Whom to admit and whom to serve next. Decisions only; the clock is an argument."""


class Admission:
    """Connections at a rate, so that a storm after a restart does not hold up those who are served."""

    def __init__(self, per_s, burst):
        self.per_s, self.burst, self.left, self.at = per_s, burst, float(burst), None

    def admit(self, now):
        if self.at is not None:
            self.left = min(self.burst, self.left + (now - self.at) * self.per_s / 1e6)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Turns:
    """Balancers to whom something is due: those that may still send to a draining worker first, then in turns."""

    def __init__(self):
        self.waiting, self.urgent = {}, {}

    def due(self, lb, urgent=False):
        if urgent:
            self.waiting.pop(lb, None)
            self.urgent[lb] = None
        elif lb not in self.urgent:
            self.waiting[lb] = None

    def next(self):
        """The next balancer, or None; it is not due any more."""
        for rows in (self.urgent, self.waiting):
            if rows:
                lb = next(iter(rows))
                del rows[lb]
                return lb
        return None

    def forget(self, lb):
        self.waiting.pop(lb, None)
        self.urgent.pop(lb, None)
