"""Aggregation of load reports. No I/O; the clock is an argument.

- `reporters` accepts or drops each report;
- `estimates` keeps sums by worker in rings of buckets by the time in which they were counted;
- `handover` selects the sums that are passed to the policy;
- `pressure` decides how to reduce the load when reports arrive faster than the manager can process them;
- `shares` gives each sender its fair share of the intake;
- `silence` detects workers that answer nothing while tries wait there.

`Digest` combines them.
"""

from .digest import Digest
from .estimates import Estimate
from .handover import Handover, OldestFirst
from .pressure import Pressure, Step
from .reporters import Report, Reporters
from .shares import FairQueue
from .silence import SilenceDetector

__all__ = [
    "Digest",
    "Estimate",
    "FairQueue",
    "Handover",
    "OldestFirst",
    "Pressure",
    "Report",
    "Reporters",
    "SilenceDetector",
    "Step",
]
