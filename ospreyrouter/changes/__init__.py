"""Changes that callers ask of a manager, each by a key of theirs: done once, stored before it is answered. No I/O.

`book` knows which change was done, is being stored, or never was; `callers` has what callers drain.
"""

from .book import Change, ChangeBook, Closed
from .callers import CallerDrains, TooMany

__all__ = ["CallerDrains", "Change", "ChangeBook", "Closed", "TooMany"]
