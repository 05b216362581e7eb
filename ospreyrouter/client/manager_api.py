"""HTTP requests to the managers about drains and changes; one connection to each, opened when it is needed."""

from urllib.parse import quote

import orjson

from ..web import Client
from .changes import DID_NOT, TOOK_EFFECT, UNKNOWN

REQUEST_TIMEOUT_US = 3_000_000


class ManagerApi:
    """Requests to the managers at `addresses`, by their index; without addresses nothing can be requested."""

    def __init__(self, loop, addresses):
        self.loop, self.addresses, self.clients = loop, list(addresses), {}

    def _client(self, manager_index):
        """Returns the open connection to a manager, or a new one."""
        client = self.clients.get(manager_index)
        if client is None or client.closed:
            client = self.clients[manager_index] = Client(self.loop, self.addresses[manager_index])
        return client

    def change_state(self, manager_index, caller, key, on_done):
        """Asks a manager for the outcome of a change; calls `on_done(state)`."""

        def on_answer(answer):
            state = UNKNOWN
            if answer.status == 200:
                state = orjson.loads(answer.body)["state"]
            on_done(state if state in (TOOK_EFFECT, DID_NOT) else UNKNOWN)

        path = f"/v3/changes?caller={quote(caller, safe='')}&key={quote(key, safe='')}"
        self._client(manager_index).send_request("GET", path, [], b"", on_answer, REQUEST_TIMEOUT_US)

    def drain(self, manager_index, body, on_done):
        """Requests a drain with a JSON body; calls `on_done(state)`.

        The state is "unknown" if the request may have been sent and got no answer.
        """

        def on_answer(answer):
            if answer.status == 200:
                on_done(TOOK_EFFECT)
            else:
                on_done(DID_NOT if answer.status or not answer.sent else UNKNOWN)

        self._client(manager_index).send_request(
            "POST", "/v3/drains", [("content-type", "application/json")], body, on_answer, REQUEST_TIMEOUT_US
        )

    def drained_workers(self, manager_index, caller, on_done):
        """Asks for the newest stored request of a caller for each worker.

        Calls `on_done` with a list of (host, port, on, at), `at` in us since 1970, or with None without an answer.
        """

        def on_answer(answer):
            on_done(orjson.loads(answer.body)["drained"] if answer.status == 200 else None)

        self._client(manager_index).send_request(
            "GET", f"/v3/drains?caller={quote(caller, safe='')}", [], b"", on_answer, REQUEST_TIMEOUT_US
        )

    def close(self):
        """Closes all connections."""
        for client in self.clients.values():
            client.abort("closed here")
