"""Background jobs with priorities and budgets of CPU, disk and channel lines; drains and withdrawals come first.

    schedule = Schedule({"cpu_us": 50_000, "disk_bytes": 4e6, "lines": 2000})      # a second
    schedule.add(Job("audit", priority=2, every_us=1_000_000, starve_us=30_000_000, cost={"lines": 50}, run=...))
    job = schedule.next(now, busy)          # None while something urgent goes on, unless a job would starve
    schedule.done(now, job, spent)          # what it really cost

A job is due every so often. Among those due the highest priority goes first, and among equals the longest waiting. A
job whose budget is used up waits for it to fill. One that has waited its `starve_us` goes before all others, in spite
of budgets and of urgent work: it never waits longer than that and one turn.
"""

from dataclasses import dataclass, field

BURST_S = 2.0  # budgets that were not used are saved up for so long


@dataclass
class Job:
    """`cost` is what one run is expected to take of each budget; `due` may say that there is nothing to do."""

    name: str
    priority: int
    every_us: int
    starve_us: int
    cost: dict
    run: object = None
    due: object = None
    due_at: int = field(default=0)
    runs: int = field(default=0)
    longest_wait_us: int = field(default=0)


class Schedule:
    def __init__(self, budgets):
        self.rates, self.left = dict(budgets), {name: rate * BURST_S for name, rate in budgets.items()}
        self.jobs, self.at, self.starved, self.gave_way = [], None, 0, 0

    def add(self, job):
        unknown = job.cost.keys() - self.rates.keys()
        if unknown or job.every_us <= 0 or job.starve_us < job.every_us:
            raise ValueError(f"{job.name}: has no budget for {sorted(unknown)}, or starves sooner than it is due")
        self.jobs.append(job)

    def _fill(self, now):
        if self.at is not None:
            for name, rate in self.rates.items():
                self.left[name] = min(rate * BURST_S, self.left[name] + rate * (now - self.at) / 1e6)
        self.at = now

    def next(self, now, busy=False):
        """The job to run now, or None. `busy`: drains, withdrawals or marks wait."""
        self._fill(now)
        due = [job for job in self.jobs if now >= job.due_at]
        for job in list(due):
            if job.due is not None and not job.due():
                job.due_at = now + job.every_us
                due.remove(job)
        starving = [job for job in due if now - job.due_at >= job.starve_us - job.every_us]
        if starving:
            self.starved += 1
            return min(starving, key=lambda job: (job.due_at, job.name))
        if busy:
            self.gave_way += bool(due)
            return None
        # Priority first: a lesser job does not slip in because it is cheap, or the greater would wait for ever.
        for job in sorted(due, key=lambda job: (-job.priority, job.due_at, job.name)):
            if all(self.left[name] >= min(cost, self.rates[name] * BURST_S) for name, cost in job.cost.items()):
                return job
            if any(self.left[name] < cost for name, cost in job.cost.items()):
                return None
        return None

    def done(self, now, job, spent=None):
        for name, cost in (spent or job.cost).items():
            self.left[name] -= cost
        job.longest_wait_us = max(job.longest_wait_us, now - job.due_at if job.runs else 0)
        job.due_at, job.runs = now + job.every_us, job.runs + 1
