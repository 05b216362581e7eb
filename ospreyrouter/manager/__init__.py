"""The running manager.

`core` adapts the decision policy to events and effects without I/O, `service` runs it with sockets and files, the other
modules each handle one kind of peer or work.
"""

from .core import ManagerCore
from .service import ManagerService

__all__ = ["ManagerCore", "ManagerService"]
