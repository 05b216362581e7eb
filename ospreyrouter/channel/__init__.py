"""The paced channel between a manager and its proxies: rate limit and loss of messages, without I/O."""

from .paced import PacedChannel, QueuedMessage

__all__ = ["PacedChannel", "QueuedMessage"]
