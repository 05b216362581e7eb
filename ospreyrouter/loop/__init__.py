"""The event loop, and an implementation of the same interface in virtual time.

`Loop` runs on `selectors` and a monotonic clock. `VirtualNetwork` simulates hosts that are connected by an in-memory
network; each `VirtualHost` has the interface of `Loop`, and the clock jumps from event to event. All other code takes
a loop as an argument and works with either.
"""

from .real import Loop
from .sockets import LOCAL_ERRORS
from .streams import AddressUnavailable, Stream
from .timers import Timer
from .virtual import VirtualHost, VirtualNetwork

__all__ = ["LOCAL_ERRORS", "Loop", "AddressUnavailable", "Stream", "Timer", "VirtualHost", "VirtualNetwork"]
