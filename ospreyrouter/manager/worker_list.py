"""Follows the worker list: polls for the next version, and keeps the last one on disk.

    follower = WorkerListFollower(service)
    follower.use(body, cached=True)      # the list that was kept before a restart
    follower.follow()

A manager that restarts while the list service is down works with the list that it kept.
"""

from ..store import worker_list_path
from ..web import Client
from ..xds.documents import CLUSTER_LOAD_ASSIGNMENT, InvalidDocument, to_json
from ..xds.worker_list import WORKER_LIST_CLUSTER, parse_worker_list

RETRY_DELAY_US = 200_000
JSON_HEADER = ("content-type", "application/json")


class WorkerListFollower:
    """Polls the worker list for one manager; see the module docstring."""

    def __init__(self, service):
        self.service, self.loop, self.core = service, service.loop, service.core
        self.log, self.name, self.version, self.client = service.log, service.name, "", None

    def follow(self):
        """Ask for the next version of the list; the server answers when there is one or the wait ends."""
        if self.service.stopped:
            return
        if self.client is None or self.client.closed:
            self.client = Client(self.loop, self.service.setup.worker_list.listen.pair)
        wait_us = round(self.service.setup.worker_list.wait_s * 1e6)
        question = {
            "node": {"id": self.name},
            "versionInfo": self.version,
            "typeUrl": CLUSTER_LOAD_ASSIGNMENT,
            "resourceNames": [WORKER_LIST_CLUSTER],
        }
        self.client.send_request(
            "POST", "/v3/discovery:endpoints", [JSON_HEADER], to_json(question), self._answered, 2 * wait_us
        )

    def _answered(self, answer):
        if answer.status == 200:
            self.use(answer.body)
        elif answer.status != 304:
            self.service.counts["list questions failed"] += 1
            self.loop.after(RETRY_DELAY_US, self.follow)
            return
        self.loop.soon(self.follow)

    def use(self, body, cached=False):
        """Pass a list to the core and the SASP front, and save it unless it is the cached one."""
        try:
            version, listed_workers = parse_worker_list(body, self.core.zone_indices)
        except InvalidDocument as error:
            self.service.counts["malformed list"] += 1
            self.log.error("list_refused", manager=self.name, detail=str(error))
            return
        if not cached:
            self.version = version
            self.service.calls.submit(
                "write_file", (worker_list_path(self.service.folder, self.name), body), self._list_saved
            )
        self.log.info(
            "list",
            manager=self.name,
            version=version,
            workers=len(listed_workers),
            cached=cached,
            draining=sum(worker[6] == "draining" for worker in listed_workers),
        )
        self.core.list_received(self.loop.now(), listed_workers)
        if self.service.front is not None:
            worker_estimates = self.core.digest.estimates(self.loop.now())
            # A worker without tries so far counts as reachable because it is listed, until there is evidence.
            self.service.front.update_workers(
                {(worker[1], worker[2]): worker_estimates[worker[0]].confidence or 0.01 for worker in listed_workers}
            )
        self.service.schedule_round()

    def _list_saved(self, _, error):
        if error is not None:
            self.log.error("list_not_kept", manager=self.name, reason=error.strerror)
