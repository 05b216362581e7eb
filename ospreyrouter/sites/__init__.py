"""What state each site is in, and how much of a returning one may be used. No I/O; the clock is an argument.

`evidence` counts what was seen, by kind; `states` turns it into up, doubtful, lost and returning, with hysteresis.
"""

from .evidence import Evidence
from .states import SiteState, Sites

__all__ = ["Evidence", "SiteState", "Sites"]
