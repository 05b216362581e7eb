"""Which manager is in charge of which slice, agreed through the store alone. No I/O; every clock is an argument.

`membership` says who lives, by signs of life that were seen to change; `dealing` says whose each slice should be;
`custody` joins both to the own lease and says what may be published, and which division to write next.
"""

from .custody import Custody
from .dealing import GIVEN, Epoch, deal, heir
from .membership import Membership

__all__ = ["Custody", "Epoch", "GIVEN", "Membership", "deal", "heir"]
