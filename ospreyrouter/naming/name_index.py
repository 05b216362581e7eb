"""Maps the names that hosts use to the small indices that a manager uses, and back.

name_index = NameIndex(settings)      # `deployment` and `workers_report_load` are read from the settings
name_index.worker_index(name), name_index.find_worker(name), name_index.worker_name(worker)
name_index.entry(name, zone, kind, cell, state, weight, started_us)
"""

from ..interface import WorkerEntry
from .settings import Malformed, read_deployment, read_workers_report_load


class NameIndex:
    """The names that one manager deals with. The index of a worker is never reused for another.

    `settings` is the object that `settings.read_deployment` reads. Raises Malformed.
    """

    def __init__(self, settings):
        self.deployment, self.workers_report_load = read_deployment(settings), read_workers_report_load(settings)
        self.worker_indices, self.worker_names, self.server_kinds, self.next_worker = {}, {}, {}, 0
        self.class_indices = {one_class.name: index for index, one_class in enumerate(self.deployment.classes)}
        self.zone_indices = {name: index for index, name in enumerate(self.deployment.zones)}

    def worker_index(self, name):
        """The index of a worker; a new name gets the next free index."""
        if name not in self.worker_indices:
            self.worker_indices[name] = self.next_worker
            self.worker_names[self.next_worker] = name
            self.next_worker += 1
        return self.worker_indices[name]

    def find_worker(self, name):
        """The index of a worker, or None if the name is unknown or not a string."""
        return self.worker_indices.get(name) if isinstance(name, str) else None

    def worker_name(self, worker):
        """The name of a worker; KeyError if its index is unknown."""
        return self.worker_names[worker]

    def forget_worker(self, worker):
        """Drop a worker of which the manager keeps no state; the same name will get a new index."""
        del self.worker_indices[self.worker_names.pop(worker)]

    def look_up(self, table, name, description):
        """The value of `name` in the dictionary `table`, or Malformed: "unknown {description}"."""
        index = table.get(name) if isinstance(name, str) else None
        if index is None:
            raise Malformed(f"unknown {description}: {name!r:.60}")
        return index

    def zone_index(self, name):
        """The index of a zone. Raises Malformed."""
        return self.look_up(self.zone_indices, name, "zone")

    def class_index(self, name):
        """The index of a class of transactions. Raises Malformed."""
        return self.look_up(self.class_indices, name, "class")

    def entry(self, name, zone, kind, cell, state, weight, started_us):
        """A row of the worker list with its names replaced by indices. Raises Malformed for an unknown zone."""
        return WorkerEntry(
            self.worker_index(name),
            self.zone_index(zone),
            self.server_kinds.setdefault(kind, len(self.server_kinds)),
            cell,
            state,
            float(weight),
            started_us,
        )
