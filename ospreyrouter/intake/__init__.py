"""Intake of load reports from many connections, with bounds on memory and on time per turn of the loop.

`bodies` decodes request bodies without I/O, `service` accepts the POST requests of a manager and feeds its `Digest`.
"""

from .bodies import BadBody, decode
from .service import Intake

__all__ = ["BadBody", "Intake", "decode"]
