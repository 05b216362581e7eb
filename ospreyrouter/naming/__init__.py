"""Translates between the names and units of the outside and the indices and microseconds of a manager.

It makes no decisions. Both hosts of managers use it: the adapter to the simulator (`benchlink`) and the program on
sockets (`node`). `settings.read_deployment` reads the settings object; `NameIndex` assigns the indices.
"""

from .name_index import NameIndex
from .settings import Malformed, micros, read_deployment

__all__ = ["NameIndex", "Malformed", "micros", "read_deployment"]
