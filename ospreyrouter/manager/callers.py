"""What callers tell a manager over HTTP: drains of their own, and what became of a change. Sockets only.

`POST /v3/drains` with `{"caller", "worker": [host, port], "on", "key"}`; `GET /v3/drains?caller=` lists them.
`GET /v3/changes?caller=&key=` says "took effect" or "did not" of any caller's change, a balancer's too (caller
`sasp/UID`, key the message's number); of one that is being stored it answers when that has ended. "did not" holds for
good once the connection on which the change was sent is cut: a balancer says who it is on a new one first.
"""

import hashlib
from urllib.parse import parse_qs

import orjson

from ..changes import CallerDrains, Change, TooMany
from ..changes.book import DID_NOT, TOOK_EFFECT, WAITING

PATHS = ("/v3/drains", "/v3/changes")
NAME_MOST = 200


class Callers:
    def __init__(self, service):
        self.service, self.drains = service, CallerDrains()
        service.changes.kinds["drain"] = (self._redo, self._standing)

    def handle(self, request):
        path, _, query = request.path.partition("?")
        if not self.service.changes.ready:
            self._answer(request, 503, {"error": "the store is not open"}, [("retry-after", "1")])
            return
        try:
            if path == "/v3/drains" and request.method == "POST":
                self._drain(request)
            elif request.method == "GET":
                asked = {name: values[0] for name, values in parse_qs(query).items()}
                caller = text(asked, "caller")
                if path == "/v3/drains":
                    self._answer(request, 200, {"caller": caller, "drained": self.drains.of(caller)})
                else:
                    self._ask(request, caller, text(asked, "key"))
            else:
                request.answer(405, [("allow", "GET, POST")])
        except (ValueError, TypeError, KeyError) as problem:
            self._answer(request, 400, {"error": "malformed", "detail": str(problem)})

    def _drain(self, request):
        data = orjson.loads(request.body)
        caller, key, on = text(data, "caller"), text(data, "key"), data["on"]
        host, port = data["worker"]
        if caller.startswith("sasp/"):
            raise ValueError("caller: balancers say it in their protocol")
        if type(on) is not bool or not isinstance(host, str) or len(host) > NAME_MOST or type(port) is not int:
            raise ValueError("worker: is no [host, port], or on: is neither true nor false")
        book, digest = self.service.changes.book, hashlib.blake2b(request.body, digest_size=16).hexdigest()

        def then(change):
            if change is None:
                self._answer(request, 503, {"state": DID_NOT, "detail": "the store refused"})
            else:
                self._answer(request, 200, {"state": TOOK_EFFECT, "key": key, "drained": self.drains.of(caller)})
        known = book.find(caller, key, digest)
        if known is not None and known.state == WAITING:
            known.then.append(then)
        elif known is not None:
            then(known)
        else:
            try:
                undo = self.drains.set(caller, (host, port), on)
            except TooMany as problem:
                self._answer(request, 429, {"state": DID_NOT, "detail": str(problem)})
                return
            self.service.changes.ask_for(Change(caller, key, digest, frozenset([f"{host}:{port}"]),
                                                ["drain", host, port, on], None, undo), then)

    def _ask(self, request, caller, key):
        book = self.service.changes.book

        def then(change):
            self._answer(request, 200, {"state": DID_NOT if change is None else TOOK_EFFECT,
                                        "answer": None if change is None else change.answer})
        state, answer = book.ask(caller, key)
        if state == WAITING:
            book.wait(caller, key, then)
        else:
            self._answer(request, 200, {"state": state, "answer": answer})

    def _redo(self, caller, effect):
        _, host, port, on = effect
        self.drains.set(caller, (host, port), on)

    def _standing(self):
        return [(caller, ["drain", *worker, True]) for caller, workers in sorted(self.drains.rows.items()) for worker in sorted(workers)]

    @staticmethod
    def _answer(request, status, data, headers=()):
        request.answer(status, [("content-type", "application/json"), *headers], orjson.dumps(data))


def text(data, name):
    value = data[name]
    if not isinstance(value, str) or not 0 < len(value) <= NAME_MOST or not value.isprintable():
        raise ValueError(f"{name}: is no name of up to {NAME_MOST} characters")
    return value
