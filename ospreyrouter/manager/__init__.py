"""The running manager: `core` turns what happened into calls of the module and its orders into effects, without
I/O; `admission` bounds reads of the store; `service` has the sockets and files."""

from .core import ManagerCore
from .service import ManagerService

__all__ = ["ManagerCore", "ManagerService"]
