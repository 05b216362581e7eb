"""Follows the table files beside a proxy: `FileFollower(loop, folder)`.

With `uid`, the caller's name, and `doors`, the addresses of the managers' HTTP API, its drains are stored by the first
manager of the list that can be reached. After a restart it asks all managers for them, so they still hold.
"""

from random import Random

import orjson

from ..files.reader import TableReader
from ..store.tables import wall_clock_us
from .changes import DID_NOT, SENT, TOOK_EFFECT, UNKNOWN
from .manager_api import ManagerApi
from .picking import Picker

POLL_US = 20_000  # between two checks of the files
RESTORE_RETRY_US = 300_000
MAX_RESTORE_RETRIES = 20  # to each manager


class FileFollower(Picker):
    """Reads the files whenever their link changes; a corrupt set is counted and the last valid one stays in force.

    `wall()` is the time in us since 1970, which orders requests about a worker.
    """

    def __init__(self, loop, folder, seed=None, uid="", doors=(), wall=wall_clock_us):
        super().__init__(seed)
        self.loop, self.reader, self.closed, self.table_keys = loop, TableReader(folder), False, {}
        self.uid, self.manager_api, self.incarnation = uid, ManagerApi(loop, doors), Random().getrandbits(48)
        self.request_count, self.last_request_us, self.wall, self.newest_requests = 0, 0, wall, {}
        for manager_index in range(len(self.manager_api.addresses)):
            self._restore(manager_index, MAX_RESTORE_RETRIES)
        self._poll()

    def _poll(self):
        """Applies the tables that changed since the last check."""
        if self.closed:
            return
        self.loop.after(POLL_US, self._poll)
        if self.reader.poll():
            for slice_index, (table, withheld, _) in sorted(self.reader.tables.items()):
                key = (table.digest, withheld)
                if self.table_keys.get(slice_index) != key:
                    self.table_keys[slice_index] = key
                    self.set_shares(
                        slice_index,
                        {(line.host, line.port): line.weight for line in table.lines if line.worker not in withheld},
                    )

    def _restore(self, manager_index, retries):
        """Restores drains that this caller requested before a restart; newer requests for a worker take precedence."""

        def on_drained(requests):
            if requests is None:
                if retries and not self.closed:
                    self.loop.after(RESTORE_RETRY_US, lambda: self._restore(manager_index, retries - 1))
                return
            # Different managers may store requests for the same worker, as they could be reached: the newest counts.
            for host, port, on, at_us in requests:
                if at_us > self.newest_requests.get((host, port), -1):
                    self.newest_requests[host, port] = at_us
                    (self.drained.add if on else self.drained.discard)((host, port))

        self.manager_api.drained_workers(manager_index, self.uid, on_drained)

    def _send_drain(self, change):
        """Sends a drain to the first manager that can be reached."""
        if not self.manager_api.addresses:
            change.parts[0, ""] = TOOK_EFFECT  # no manager stores it
            return
        self.last_request_us = max(self.last_request_us + 1, self.wall())
        self.newest_requests[change.worker] = self.last_request_us
        self._send_to_manager(change, 0, self.last_request_us)

    def _send_to_manager(self, change, manager_index, at_us):
        """Sends a drain to a manager, and to the next one if it is unreachable or refuses."""
        self.request_count += 1
        key = f"{self.incarnation:x}.{self.request_count}"
        body = orjson.dumps(
            {"caller": self.uid, "worker": list(change.worker), "on": change.on, "at": at_us, "key": key}
        )
        change.parts[manager_index, key], change.bodies[manager_index, key] = SENT, body

        def on_done(state):
            if state == DID_NOT and manager_index + 1 < len(self.manager_api.addresses):
                # The manager was not reached, or refused: the next one is asked to store it.
                del change.parts[manager_index, key], change.bodies[manager_index, key]
                self._send_to_manager(change, manager_index + 1, at_us)
            else:
                change.set_state(manager_index, key, state)

        self.manager_api.drain(manager_index, body, on_done)

    def ask(self, change):
        """Asks the managers for the outcome of the unknown parts of a change."""
        for manager_index, key in change.unknown():
            self.manager_api.change_state(
                manager_index,
                self.uid,
                key,
                lambda state, manager_index=manager_index, key=key: change.set_state(manager_index, key, state),
            )

    def repeat(self, change):
        """Sends unknown parts again with the same keys, and parts that did not take effect with new keys."""
        for (manager_index, key), state in list(change.parts.items()):
            if state == UNKNOWN:
                change.parts[manager_index, key] = SENT
                self.manager_api.drain(
                    manager_index,
                    change.bodies[manager_index, key],
                    lambda state, manager_index=manager_index, key=key: change.set_state(manager_index, key, state),
                )
            elif state == DID_NOT:
                # The manager would refuse the key, which it declared as not done: a new one is used.
                body = orjson.loads(change.bodies.pop((manager_index, key)))
                del change.parts[manager_index, key]
                self._send_to_manager(change, manager_index, body["at"])

    def close(self):
        """Stops following and closes the connections to the managers."""
        self.closed = True
        self.manager_api.close()
