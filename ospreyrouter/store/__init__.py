"""What managers share on disk: tables as last published, and who is in charge of which slice.

`custody` decides (no I/O); `tables`, `epochs` and `lists` read and write files.
"""

from .custody import Custody, Epoch
from .epochs import EpochFiles
from .lists import ListFile
from .tables import TableStore

__all__ = ["Custody", "Epoch", "EpochFiles", "ListFile", "TableStore"]
