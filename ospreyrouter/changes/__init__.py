"""Changes that callers request of a manager, each under a key of the caller's choice: applied once, and stored before
they are answered. No I/O.

`registry` knows which changes were applied, are being stored, or were never received; `callers` holds the drains of
callers.
"""

from .callers import CallerDrains, TooManyDrains
from .registry import Change, ChangeClosed, ChangeRegistry

__all__ = ["CallerDrains", "Change", "ChangeRegistry", "ChangeClosed", "TooManyDrains"]
