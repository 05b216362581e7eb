"""Hints between managers that may talk to each other (`custody.peers`).

A manager that has created an epoch tells the others, which check the store at once instead of at their next regular
check. `POST /v3/hints` with `{"manager", "epoch"}`.

A hint decides nothing, it only makes a manager read the store. One that is lost, late, repeated or forged costs a check
at most, and there is at most one such check per MIN_CHECK_INTERVAL_US. If managers may not talk, none is sent and every
one that arrives is refused with 403.
"""

import orjson

from ..web import Client

MIN_CHECK_INTERVAL_US = 20_000
REQUEST_TIMEOUT_US = 300_000
MAX_EPOCH = 1 << 53


class Hints:
    """Sends and receives the hints of one manager."""

    def __init__(self, service):
        self.service, self.clients, self.last_check_us = service, {}, None
        self.allowed = service.setup.custody.peers

    def announce_epoch(self, epoch):
        """Tell all other managers that this epoch has been created, if managers may talk."""
        if not self.allowed:
            return
        body = orjson.dumps({"manager": self.service.name, "epoch": epoch})
        for manager in self.service.setup.managers:
            if manager.name == self.service.name:
                continue
            client = self.clients.get(manager.name)
            if client is None or client.closed:
                client = self.clients[manager.name] = Client(self.service.loop, manager.listen.pair, REQUEST_TIMEOUT_US)
            if client.outstanding < 2:  # a manager that does not answer gets no more hints, which does it no harm
                client.send_request(
                    "POST",
                    "/v3/hints",
                    [("content-type", "application/json")],
                    body,
                    lambda answer: None,
                    REQUEST_TIMEOUT_US,
                )

    def handle_hint(self, request):
        """Answer `POST /v3/hints` and check the store if the epoch is newer than the known one."""
        service = self.service
        if not self.allowed:
            request.respond(403)
            return
        try:
            data = orjson.loads(request.body) if request.method == "POST" else None
            valid = (
                data["manager"] in service.manager_names
                and type(data["epoch"]) is int
                and 0 < data["epoch"] < MAX_EPOCH
            )
        except (ValueError, TypeError, KeyError):
            valid = False
        if not valid:
            service.counts["malformed hint"] += 1
            request.respond(400, [("connection", "close")])
            request.connection.close()
            return
        request.respond(204)
        now, current_epoch = service.loop.now(), service.custody.epoch
        if (current_epoch is None or data["epoch"] > current_epoch.number) and (
            self.last_check_us is None or now - self.last_check_us >= MIN_CHECK_INTERVAL_US
        ):
            self.last_check_us = now
            service.counts["hints followed"] += 1
            service.check_store()

    def close(self):
        """Close the connections to other managers."""
        for client in self.clients.values():
            client.close()
