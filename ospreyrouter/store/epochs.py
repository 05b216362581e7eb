"""Custody files: `custody/0000000012.json` is an epoch, `custody/alive-NAME` the heartbeat of a manager.

The number of an epoch can be created only once: the epoch is written to a temporary file and hard-linked to its name,
and a link to an existing name fails. Heartbeats are replaced whole; the clocks of two machines are never compared.
"""

import os

import orjson

from ..custody import NO_VICTIM, Epoch

KEPT_EPOCHS = 64  # older epochs that stay on disk for inspection


class EpochFiles:
    """Reads and writes the custody files of a store.

    `managers` are the names of all managers in the order of their numbers; `own_index` is the number of this manager,
    or -1 for a reader that is not a manager.
    """

    def __init__(self, folder, own_index, managers, disk):
        self.folder, self.own_index, self.managers, self.disk = (
            os.path.join(folder, "custody"),
            own_index,
            managers,
            disk,
        )
        os.makedirs(self.folder, exist_ok=True)
        self.unreadable_count, self.incarnation = 0, ""

    def _path(self, name):
        return os.path.join(self.folder, name)

    def replace_heartbeat(self, incarnation, number):
        """Replaces the own heartbeat by `incarnation/number`; `incarnation` identifies the process. Raises OSError.

        Not flushed: a heartbeat is worthless after a power failure.
        """
        self.incarnation = incarnation
        temporary = self._path(f".alive-{self.managers[self.own_index]}-{incarnation}")
        self.disk.remove(temporary)
        self.disk.write_new(temporary, f"{incarnation}/{number}".encode(), flush=False)
        self.disk.rename(temporary, self._path(f"alive-{self.managers[self.own_index]}"))

    def read_heartbeats(self):
        """Returns {manager number: heartbeat in bytes} of the other managers; unreadable ones are left out."""
        heartbeats = {}
        for manager, name in enumerate(self.managers):
            if manager != self.own_index:
                try:
                    with open(self._path(f"alive-{name}"), "rb") as file:
                        heartbeats[manager] = file.read(200)
                except OSError:
                    pass
        return heartbeats

    def newest(self, known=0):
        """Returns the newest readable epoch with a number above `known`, or None.

        Only the five highest numbers are tried.
        """
        for name in sorted(
            (name for name in os.listdir(self.folder) if name.endswith(".json") and name[:-5].isdigit()), reverse=True
        )[:5]:
            if int(name[:-5]) <= known:
                return None
            epoch = self._read(name)
            if epoch is not None:
                return epoch
        return None

    def _read(self, name):
        """Returns the epoch in a file, or None if the file cannot be read or is malformed."""
        try:
            with open(self._path(name), "rb") as file:
                data = orjson.loads(file.read())
            owners = tuple(self.managers.index(owner) for owner in data["owners"])
            fences = tuple(int(fence) for fence in data["fences"])
            victims = tuple(
                self.managers.index(owner) if owner else NO_VICTIM for owner in data.get("past", [None] * len(owners))
            )
            if data["epoch"] == int(name[:-5]) and len(owners) == len(fences) == len(victims):
                return Epoch(data["epoch"], owners, fences, victims)
        except (OSError, ValueError, KeyError, TypeError):
            pass
        self.unreadable_count += 1
        return None

    def create(self, epoch):
        """Creates the file of an epoch. Returns False if another manager has created that number already.

        Raises OSError if the file cannot be written.
        """
        body = orjson.dumps(
            {
                "epoch": epoch.number,
                "by": self.managers[self.own_index],
                "owners": [self.managers[owner] for owner in epoch.owners],
                "fences": list(epoch.fences),
                "past": [self.managers[owner] if owner != NO_VICTIM else None for owner in epoch.victims],
            }
        )
        temporary = self._path(f".epoch-{self.managers[self.own_index]}-{self.incarnation}")
        self.disk.remove(temporary)
        self.disk.write_new(temporary, body)
        try:
            self.disk.link(temporary, self._path(f"{epoch.number:010d}.json"))
        except FileExistsError:
            return False
        finally:
            self.disk.remove(temporary)
        self.disk.flush_folder(self.folder)
        self.disk.remove(self._path(f"{epoch.number - KEPT_EPOCHS:010d}.json"))
        return True
