"""Background work: what is done next, and whether now is the time. Decisions only; jobs are run by their owners."""

from .schedule import Job, Schedule

__all__ = ["Job", "Schedule"]
