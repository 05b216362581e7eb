"""HTTP interface for callers: drains of their own, and the outcome of changes.

`POST /v3/drains` with `{"caller", "worker": [host, port], "on", "at", "key"}` starts or ends a drain of one caller.
`GET /v3/drains?caller=` lists the newest state of each worker with its `at`, a number that rises with each change of a
caller: a caller may send its changes to several managers in turn, and an older change does not replace a newer one.

`GET /v3/changes?caller=&key=` answers "took effect" or "did not" for a change of any caller, also for that of a
balancer (caller `sasp/UID`, key is the number of the message). If the change is still being stored, the answer waits
for the result. The answer "did not" closes the key: should the change arrive later, it is refused and has to be sent
again with another key.
"""

import hashlib
from urllib.parse import parse_qs

import orjson

from ..changes import CallerDrains, Change, ChangeClosed, TooManyDrains
from ..changes.registry import DID_NOT, TOOK_EFFECT

PATHS = ("/v3/drains", "/v3/changes")
MAX_NAME_LENGTH = 200


class Callers:
    """Handles the requests of callers on a manager and owns their drains."""

    def __init__(self, service):
        self.service, self.drains = service, CallerDrains()
        service.changes.effect_handlers["drain"] = (self._replay, self._current_effects)

    def handle(self, request):
        """Answer a request for one of `PATHS`: 400 malformed, 503 while the store is not open."""
        path, _, query = request.path.partition("?")
        if not self.service.changes.ready:
            self._answer(request, 503, {"error": "the store is not open"}, [("retry-after", "1")])
            return
        try:
            if path == "/v3/drains" and request.method == "POST":
                self._change_drain(request)
            elif request.method == "GET":
                parameters = {name: values[0] for name, values in parse_qs(query).items()}
                caller = required_text(parameters, "caller")
                if path == "/v3/drains":
                    self._answer(request, 200, {"caller": caller, "drained": self.drains.list_drains(caller)})
                else:
                    self._answer_change_state(request, caller, required_text(parameters, "key"))
            else:
                request.respond(405, [("allow", "GET, POST")])
        except (ValueError, TypeError, KeyError) as error:
            self._answer(request, 400, {"error": "malformed", "detail": str(error)})

    def _change_drain(self, request):
        """Apply a drain change; it is answered when it is stored. A repeat is answered like the first."""
        data = orjson.loads(request.body)
        caller, key, draining, sequence = (
            required_text(data, "caller"),
            required_text(data, "key"),
            data["on"],
            data["at"],
        )
        host, port = data["worker"]
        if caller.startswith("sasp/"):
            raise ValueError("caller: balancers change drains by their own protocol")
        if type(sequence) is not int or not 0 <= sequence < 1 << 62:
            raise ValueError("at: is not a whole number from 0 to 2^62 - 1")
        if (
            type(draining) is not bool
            or not isinstance(host, str)
            or len(host) > MAX_NAME_LENGTH
            or type(port) is not int
        ):
            raise ValueError("worker: is not [host, port], or on: is neither true nor false")
        book, digest = self.service.changes.book, hashlib.blake2b(request.body, digest_size=16).hexdigest()

        def on_stored(change):
            if change is None:
                self._answer(request, 503, {"state": DID_NOT, "detail": "the store refused"})
            else:
                self._answer(
                    request, 200, {"state": TOOK_EFFECT, "key": key, "drained": self.drains.list_drains(caller)}
                )

        try:
            if book.answer_if_repeated(caller, key, digest, on_stored):
                return
            undo = self.drains.record(caller, (host, port), draining, sequence)
        except ChangeClosed:
            self._answer(request, 409, {"state": DID_NOT, "detail": "its caller was told so"})
        except TooManyDrains as error:
            self._answer(request, 429, {"state": DID_NOT, "detail": str(error)})
        else:
            self.service.changes.submit(
                Change(
                    caller,
                    key,
                    digest,
                    frozenset([f"{host}:{port}"]),
                    ["drain", host, port, draining, sequence],
                    None,
                    undo,
                ),
                on_stored,
            )

    def _answer_change_state(self, request, caller, key):
        """Answer whether a change took effect, as soon as that is known."""
        book = self.service.changes.book

        def on_known(change):
            self._answer(
                request,
                200,
                {
                    "state": DID_NOT if change is None else TOOK_EFFECT,
                    "answer": None if change is None else change.answer,
                },
            )

        book.query_outcome(caller, key, on_known)

    def _replay(self, caller, effect):
        """Apply a stored drain change again after a restart."""
        _, host, port, draining, sequence = effect
        self.drains.record(caller, (host, port), draining, sequence)

    def _current_effects(self):
        """All drains as (caller, effect), for a rewritten change log."""
        return [
            (caller, ["drain", host, port, draining, sequence])
            for caller in sorted(self.drains.by_caller)
            for host, port, draining, sequence in self.drains.list_drains(caller)
        ]

    @staticmethod
    def _answer(request, status, data, headers=()):
        request.respond(status, [("content-type", "application/json"), *headers], orjson.dumps(data))


def required_text(data, name):
    """Return a text of the mapping. Raises ValueError, or KeyError if it is missing."""
    value = data[name]
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable():
        raise ValueError(f"{name}: is not a printable name of 1 to {MAX_NAME_LENGTH} characters")
    return value
