"""The one door between outside names and units and the manager's indices and microseconds. It decides nothing.

The simulator's adapter (`benchlink`) and the program on sockets (`node`) both come in by it: the settings object is
read by `settings.deployment`, and `Door` gives out the small indices.
"""

from .names import Door
from .settings import Malformed, deployment, micros

__all__ = ["Door", "Malformed", "deployment", "micros"]
