"""Rehearsals: days of traffic and troubles on loopback sockets or in virtual time, audited from their journals.

A `Day` describes fleet, traffic and troubles. `play_virtually` and `play_on_sockets` run one with the managers and file
agents of this package and the stand-ins of `standins`. `audit` checks the rules from journals alone, without access to
the state of managers.
"""

from .audit import audit
from .day import Day, day_schema
from .play import play_virtually
from .processes import play_on_sockets

__all__ = ["Day", "audit", "day_schema", "play_on_sockets", "play_virtually"]
