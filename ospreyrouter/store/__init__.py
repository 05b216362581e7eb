"""What managers share on disk: tables as last published, and who is in charge of which slice.

`custody` decides (no I/O); `tables` reads the tables' logs; what writes (`log`, `epochs`) is called by the helper.
"""

from .custody import Custody, Epoch
from .epochs import EpochFiles
from .lists import list_path, read_list
from .tables import TableStore

__all__ = ["Custody", "Epoch", "EpochFiles", "TableStore", "list_path", "read_list"]
