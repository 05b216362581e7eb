"""Gives a stand-in a port on which a rehearsal causes troubles.

`POST /control` with a JSON object: `name` is the command, all other fields are its arguments.
"""

import orjson

from ..web import Server


class ControlledService:
    """A stand-in with its control port (None: it has none); flushes its journal every 250 ms.

    A command is passed to `service.control(name, **arguments)`. The answer is 204, or 400 if the command is invalid.
    """

    def __init__(self, loop, service, port, journal):
        self.loop, self.service, self.journal = loop, service, journal
        self.server = None if port is None else Server(loop, ("127.0.0.1", port), self._request)
        self._flush()

    def _flush(self):
        self.journal.flush()
        self.loop.after(250_000, self._flush)

    def _request(self, request):
        try:
            data = orjson.loads(request.body)
            self.service.control(data.pop("name"), **data)
        except (ValueError, KeyError, TypeError) as error:
            request.respond(400, [], str(error).encode())
            return
        request.respond(204)

    def close(self):
        """Flush the journal and close the stand-in if it can be closed."""
        self.journal.flush()
        getattr(self.service, "close", lambda: None)()
