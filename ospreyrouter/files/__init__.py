"""Table files beside a proxy: which updates are accepted, how a set of files is replaced by one rename, how it is read.

`ledger` decides which updates to accept (no I/O), `disk` and `sets` write files, `reader` reads them, and `agent` is
the HTTP service that receives updates from managers.
"""

from .agent import FileAgent
from .disk import Disk
from .ledger import Ledger, Rejected
from .reader import TableReader
from .sets import FileSet

__all__ = ["Disk", "FileAgent", "FileSet", "Ledger", "Rejected", "TableReader"]
