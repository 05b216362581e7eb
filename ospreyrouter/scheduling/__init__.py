"""Scheduling of background jobs: which job runs next, and when. No I/O; the owners of the jobs run them."""

from .scheduler import Job, JobScheduler

__all__ = ["Job", "JobScheduler"]
