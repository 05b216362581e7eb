"""Days played on loopback sockets or in virtual time, and an audit of what passed that knows no manager's state."""

from .audit import audit
from .day import Day, day_schema
from .play import play_virtually
from .processes import play_on_sockets

__all__ = ["Day", "audit", "day_schema", "play_on_sockets", "play_virtually"]
