"""What managers share on disk: tables as last published, and who is in charge of which slice.

`tables` reads the tables' logs; what writes (`log`, `epochs`) is called by the helper.
"""

from .epochs import EpochFiles
from .lists import list_path, read_list
from .tables import TableStore

__all__ = ["EpochFiles", "TableStore", "list_path", "read_list"]
