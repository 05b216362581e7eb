"""Scheduler of background jobs with priorities and budgets for CPU time, disk bytes and channel lines.

    scheduler = JobScheduler({"cpu_us": 50_000, "disk_bytes": 4e6, "lines": 2000})      # budgets a second
    scheduler.add(Job("audit", priority=2, every_us=1_000_000, max_wait_us=30_000_000, cost={"lines": 50}, run=...))
    job = scheduler.next_job(now, busy)     # None while urgent work is going on, unless a job would starve
    scheduler.job_done(now, job, spent)     # the actual cost

A job becomes due once in each period `every_us`. Of the due jobs the one with the highest priority runs first, and
among equals the one that has waited longest. A job whose budget is used up waits until the budget has refilled. A job
that has waited for `max_wait_us` runs before all others, regardless of budgets and of urgent work such as drains and
withdrawals: it never waits longer than that and one turn of the loop.
"""

from dataclasses import dataclass, field

BURST_S = 2.0  # seconds of budget that can be saved up


@dataclass
class Job:
    """A periodic job.

    `cost` is what one run is expected to use of each budget. `run` is called by the owner of the scheduler; `has_work`,
    if given, returns whether there is anything to do. `run_count` and `longest_wait_us` are statistics.
    """

    name: str
    priority: int
    every_us: int
    max_wait_us: int
    cost: dict
    run: object = None
    has_work: object = None
    due_at_us: int = field(default=0)
    run_count: int = field(default=0)
    longest_wait_us: int = field(default=0)


class JobScheduler:
    """Selects jobs; `budgets` are {name: amount a second}. All times are microseconds of one monotonic clock.

    `starved_runs` counts jobs that ran because they would have starved, `deferrals` the times that due jobs had to wait
    for urgent work.
    """

    def __init__(self, budgets):
        self.budgets_per_s, self.remaining = dict(budgets), {name: per_s * BURST_S for name, per_s in budgets.items()}
        self.jobs, self.refilled_at_us, self.starved_runs, self.deferrals = [], None, 0, 0

    def add(self, job):
        """Adds a job. Raises ValueError if it has a cost without a budget, or if its times contradict each other."""
        unknown = job.cost.keys() - self.budgets_per_s.keys()
        if unknown or job.every_us <= 0 or job.max_wait_us < job.every_us:
            raise ValueError(
                f"{job.name}: has no budget for {sorted(unknown)}, or a longest wait that is below its period"
            )
        self.jobs.append(job)

    def _refill(self, now):
        if self.refilled_at_us is not None:
            for name, per_s in self.budgets_per_s.items():
                self.remaining[name] = min(
                    per_s * BURST_S, self.remaining[name] + per_s * (now - self.refilled_at_us) / 1e6
                )
        self.refilled_at_us = now

    def next_job(self, now, busy=False):
        """Returns the job to run now, or None. `busy` means that drains, withdrawals or marks are waiting."""
        self._refill(now)
        due = [job for job in self.jobs if now >= job.due_at_us]
        for job in list(due):
            if job.has_work is not None and not job.has_work():
                job.due_at_us = now + job.every_us
                due.remove(job)
        starving = [job for job in due if now - job.due_at_us >= job.max_wait_us - job.every_us]
        if starving:
            self.starved_runs += 1
            return min(starving, key=lambda job: (job.due_at_us, job.name))
        if busy:
            self.deferrals += bool(due)
            return None
        # A cheap job must not overtake a job of higher priority that waits for its budget, which could otherwise wait
        # forever.
        for job in sorted(due, key=lambda job: (-job.priority, job.due_at_us, job.name)):
            if all(
                self.remaining[name] >= min(cost, self.budgets_per_s[name] * BURST_S) for name, cost in job.cost.items()
            ):
                return job
            if any(self.remaining[name] < cost for name, cost in job.cost.items()):
                return None
        return None

    def job_done(self, now, job, spent=None):
        """Records that a job has run, charges the budgets with `spent` (by default its cost) and sets its next due
        time.
        """
        for name, cost in (spent or job.cost).items():
            self.remaining[name] -= cost
        job.longest_wait_us = max(job.longest_wait_us, now - job.due_at_us if job.run_count else 0)
        job.due_at_us, job.run_count = now + job.every_us, job.run_count + 1
