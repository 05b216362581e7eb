"""Names to the small indices that the manager knows, and back.

door = Door(settings)                 # `door.setup` is the Deployment, `door.load_reports` whether workers report
door.worker(name), door.known(name), door.name(worker)
door.entry(name, zone, kind, cell, state, weight, started_us)
"""

from ..interface import Entry
from .settings import Malformed, deployment, load_reports


class Door:
    """The names of one manager; an index is never given out twice."""

    def __init__(self, settings):
        self.setup, self.load_reports = deployment(settings), load_reports(settings)
        self.workers, self.names, self.kinds, self.given = {}, {}, {}, 0
        self.classes = {row.name: place for place, row in enumerate(self.setup.classes)}
        self.zones = {name: place for place, name in enumerate(self.setup.zones)}

    def worker(self, name):
        """The worker of that name; one not met before gets the next index."""
        if name not in self.workers:
            self.workers[name] = self.given
            self.names[self.given] = name
            self.given += 1
        return self.workers[name]

    def known(self, name):
        return self.workers.get(name) if isinstance(name, str) else None

    def name(self, worker):
        return self.names[worker]

    def forget(self, worker):
        """The manager holds nothing of it any more; under the same name it would be a new one."""
        del self.workers[self.names.pop(worker)]

    def named(self, table, name, what):
        """The index of a name that must be known already."""
        place = table.get(name) if isinstance(name, str) else None
        if place is None:
            raise Malformed(f"unknown {what}: {name!r:.60}")
        return place

    def zone(self, name):
        return self.named(self.zones, name, "zone")

    def kind(self, name):
        return self.named(self.classes, name, "class")

    def entry(self, name, zone, kind, cell, state, weight, started_us):
        return Entry(
            self.worker(name),
            self.zone(zone),
            self.kinds.setdefault(kind, len(self.kinds)),
            cell,
            state,
            float(weight),
            started_us,
        )
