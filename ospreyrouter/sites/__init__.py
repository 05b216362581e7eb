"""Loss and return of sites: the state of each site, how the others carry its load, and how much of a returning site may
be used. No I/O; the clock is an argument.

`evidence` counts outcomes by kind; `states` derives the states up, doubtful, lost and returning from them, with
hysteresis. `capacity` learns what workers can do; `tiers` defines which sites carry load for which; `spill` plans what
each site carries and what is refused; `control` updates that plan over time.
"""

from .control import SpillController
from .evidence import Evidence
from .states import SiteMonitor, SiteState
from .tiers import InvalidTiers, build_tiers

__all__ = ["Evidence", "InvalidTiers", "SiteMonitor", "SiteState", "SpillController", "build_tiers"]
