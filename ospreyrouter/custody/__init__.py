"""Custody: which manager is in charge of which slice, agreed through the shared store alone. No I/O; clocks are
arguments.

`membership` decides which managers are alive, by heartbeats that were seen to change; `slice_assignment` computes which
manager should own each slice; `custody` combines both with this manager's lease and decides what may be published and
which epoch to write next.
"""

from .custody import Custody
from .membership import Membership
from .slice_assignment import NO_VICTIM, Epoch, assign_owners, rendezvous_owner

__all__ = ["Custody", "Epoch", "NO_VICTIM", "Membership", "assign_owners", "rendezvous_owner"]
