"""The paced channel between a manager and its proxies: decisions of pace and loss, without I/O."""

from .paced import PacedChannel, Waiting

__all__ = ["PacedChannel", "Waiting"]
