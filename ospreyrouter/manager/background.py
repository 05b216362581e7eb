"""Background work of the manager: audits of the tables at proxies, retention and compaction of the store.

`scheduling.JobScheduler` decides which job runs when.
"""

from ..scheduling import Job, JobScheduler

CHECK_INTERVAL_US = 100_000
BUDGETS_PER_S = {"cpu_us": 60_000, "disk_bytes": 8_000_000, "lines": 2_000}  # of all background work together
AUDIT_INTERVAL_US = 1_000_000  # one proxy is audited per interval, in rotation
RETENTION_INTERVAL_US = 30_000_000
COMPACTION_INTERVAL_US = 10_000_000


class Background:
    """Runs the next due job several times a second, and none while messages wait in the channel."""

    def __init__(self, service):
        self.service, self.schedule = service, JobScheduler(BUDGETS_PER_S)
        self.audits, self.claims, self.differences, self.audit_index = 0, 0, 0, 0
        add = self.schedule.add
        add(
            Job(
                "audit",
                2,
                AUDIT_INTERVAL_US,
                20_000_000,
                {"cpu_us": 5_000, "lines": 50},
                self._audit,
                lambda: bool(service.proxies.sessions),
            )
        )
        add(Job("retention", 1, RETENTION_INTERVAL_US, 300_000_000, {"cpu_us": 20_000}, self._retain))
        add(
            Job(
                "compaction",
                1,
                COMPACTION_INTERVAL_US,
                600_000_000,
                {"cpu_us": 40_000, "disk_bytes": 8_000_000},
                self._compact,
                lambda: service.table_store.needs_compaction(),
            )
        )
        service.loop.after(CHECK_INTERVAL_US, self._run_next_job)

    def _run_next_job(self):
        """Run the next due job, if any, and charge its cost to the budgets."""
        service = self.service
        if service.stopped:
            return
        service.loop.after(CHECK_INTERVAL_US, self._run_next_job)
        # Withdrawals of workers share the channel, so nothing is added while it is more than a quarter full.
        busy = (
            service.proxies.channel.waiting_lines > service.proxies.channel.max_waiting_lines / 4
            or service.writes.unsaved
            or not service.custody.may_publish(service.loop.now())
        )
        job = self.schedule.next_job(service.loop.now(), bool(busy))
        if job is not None:
            began_us = service.loop.now()
            spent = job.run()
            self.schedule.job_done(
                service.loop.now(), job, job.cost | {"cpu_us": service.loop.now() - began_us} | (spent or {})
            )

    def _audit(self):
        """Ask the next proxy for the versions that it holds; it gets the tables that differ in the answer."""
        names = sorted(self.service.proxies.sessions)
        self.audit_index = (self.audit_index + 1) % len(names)
        session = self.service.proxies.sessions[names[self.audit_index]]
        if session.ready and not session.audit_pending and not session.push_queue:
            session.audit_pending = True
            self.audits += 1
            self.service.proxies.request_read(sorted(self.service.core.tables), session)
        return

    def audit_finished(self, proxy, slices, different):
        """Count the result of an audit: the proxy held `slices` tables, of which `different` had to be sent again."""
        self.claims += slices
        if different:
            self.differences += different
            self.service.log.info("audit_differs", manager=self.service.name, proxy=proxy, tables=different)
        return

    def _retain(self):
        """Remove table versions from the history that need not be kept any longer."""
        history = self.service.table_store.history
        pruned = self.service.table_store.prune()
        if pruned:
            self.service.log.info(
                "versions_pruned", manager=self.service.name, versions=pruned, kept=len(history.by_digest)
            )
        return

    def _compact(self):
        """Rewrite the store without superseded records."""
        self.service.table_store.compact()
        return {"disk_bytes": self.service.table_store.size}

    def figures(self):
        """Counters for the last log line and for measurements."""
        return {
            "audits": self.audits,
            "claims": self.claims,
            "differences": self.differences,
            "gave way": self.schedule.deferrals,
            "starved": self.schedule.starved_runs,
            "clock_steps": self.service.table_store.wall_clock_monitor.step_count,
            "runs": {job.name: job.run_count for job in self.schedule.jobs},
        }
