"""The stand-in worker list: shows the state of workers with a delay, and wrong entries on command.

A manager requests the list by `POST`; if it has the present version, the request is held until the list changes or
`worker_list.wait_s` have passed (304).
"""

from ..web import Server
from ..xds.documents import CLUSTER_LOAD_ASSIGNMENT, parse_json
from ..xds.worker_list import worker_list_body


class WorkerListService:
    """Serves the worker list to managers and writes a row `told` for each answer.

    `specs` are WorkerSpecs in the order of the day; the last `spare` of them are not listed at first. A change of state
    is listed after `notice_us`.
    """

    def __init__(self, loop, setup, specs, journal, notice_us=600_000, spare=0):
        self.loop, self.setup, self.journal, self.notice_us = loop, setup, journal, notice_us
        self.specs_by_name = {spec.name: spec for spec in specs}
        self.states = {spec.name: "ready" if index < len(specs) - spare else "gone" for index, spec in enumerate(specs)}
        self.incarnations = {spec.name: (1, None) for spec in specs}  # number and start time in us
        # The listed workers that do not exist: address and zone by name. `waiting` has (request, manager).
        self.hidden, self.ghosts, self.version, self.waiting = set(), {}, 1, []
        self.server = Server(loop, setup.worker_list.listen.pair, self._request)

    def control(self, command, workers=(), **arguments):
        """Carry out a control command; any command other than "state" takes effect at once.

        "state" sets the `state` of workers ("ready", "draining" or "gone"), after `notice_us` or, with `now`, at once;
        `fresh` says that a new process has started. "hide" omits workers, "ghosts" adds workers that do not exist
        (`addresses`: [host, port, zone] by name), "true" ends both.
        """
        if command == "state":
            self.loop.after(
                0 if arguments.get("now") else self.notice_us, lambda: self._set_state(workers, **arguments)
            )
            return
        if command == "hide":
            self.hidden = set(workers)
        elif command == "ghosts":
            self.ghosts = {name: tuple(address) for name, address in arguments["addresses"].items()}
        elif command == "true":
            self.hidden, self.ghosts = set(), {}
        self._list_changed()

    def _set_state(self, workers, state, fresh=False, **_):
        for name in workers:
            self.states[name] = state
            if fresh:
                self.incarnations[name] = (self.incarnations[name][0] + 1, self.loop.now())
        self._list_changed()

    def _list_changed(self):
        self.version += 1
        waiting, self.waiting = self.waiting, []
        for request, manager in waiting:
            self._answer(request, manager)

    def listed_entries(self):
        """The present list as tuples for `worker_list_body`."""
        entries = []
        for name, spec in self.specs_by_name.items():
            if self.states[name] != "gone" and name not in self.hidden:
                incarnation, started_us = self.incarnations[name]
                age_us = None if started_us is None else self.loop.now() - started_us
                entries.append(
                    (
                        name,
                        spec.host,
                        spec.port,
                        spec.zone,
                        "std",
                        spec.cell,
                        self.states[name],
                        1.0,
                        f"{name}.{incarnation}",
                        age_us,
                    )
                )
        for name, (host, port, zone) in self.ghosts.items():
            entries.append((name, host, port, zone, "std", 0, "ready", 1.0, f"{name}.1", None))
        return entries

    def _request(self, request):
        data = parse_json(request.body, "request")
        manager = data["node"]["id"]
        if data.get("versionInfo") == str(self.version):
            held_request = (request, manager)
            self.waiting.append(held_request)
            self.loop.after(round(self.setup.worker_list.wait_s * 1e6), lambda: self._wait_over(held_request))
        else:
            self._answer(request, manager)

    def _wait_over(self, held_request):
        if held_request in self.waiting:
            self.waiting.remove(held_request)
            held_request[0].respond(304)

    def _answer(self, request, manager):
        entries = self.listed_entries()
        self.journal.write(
            "told", manager=manager, version=self.version, rows=[[entry[0], entry[6], entry[9]] for entry in entries]
        )
        request.respond(200, [("content-type", "application/json")], worker_list_body(str(self.version), entries))


__all__ = ["CLUSTER_LOAD_ASSIGNMENT", "WorkerListService"]
