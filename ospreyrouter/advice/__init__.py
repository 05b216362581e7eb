"""Integer weights by group and member for load balancers that do not read table files. No I/O.

`weights` converts shares to integer weights that change as little as possible; `registry` records which balancer
registered which groups, what was last sent to it and what is due; `drains` tracks whether every balancer received the
news of a drain within the grace.
"""

from .drains import DrainWatch
from .registry import Registry, RegistryError
from .weights import TOTAL_WEIGHT, apportion_weights

__all__ = ["DrainWatch", "Registry", "RegistryError", "TOTAL_WEIGHT", "apportion_weights"]
