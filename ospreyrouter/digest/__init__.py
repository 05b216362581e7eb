"""What load reports say, kept and weighed. No I/O; the clock is an argument.

`reporters` accepts or drops each report; `estimates` keeps sums by worker and slice in rings placed by the time they
were counted in; `handover` chooses the lines for the module; `pressure` says what gives way when reports outrun the
manager; `shares` gives each sender its part of the intake; `silence` finds workers
that answer nothing while tries wait there. `Digest` has them together.
"""

from .digest import Digest
from .estimates import Estimate
from .handover import Handover, OldestFirst
from .pressure import Pressure, Step
from .reporters import Report, Reporters
from .shares import FairQueue
from .silence import Silence

__all__ = [
    "Digest",
    "Estimate",
    "FairQueue",
    "Handover",
    "OldestFirst",
    "Pressure",
    "Report",
    "Reporters",
    "Silence",
    "Step",
]
