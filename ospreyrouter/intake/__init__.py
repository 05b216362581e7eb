"""Load reports from many streams: bodies decoded within bounds, each sender its part, a budget of time a turn.

`bodies` decodes (no I/O); `service` takes POSTs of a manager or a relay and feeds a `Digest`; `relay` merges a
site's reports before they reach the managers.
"""

from .bodies import BadBody, decode
from .service import Intake

__all__ = ["BadBody", "Intake", "decode"]
