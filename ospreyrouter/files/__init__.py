"""Table files beside a proxy: what is accepted, how sets of files change in one rename, who reads them.

`ledger` decides (no I/O), `disk` and `sets` write, `reader` reads, `agent` is the HTTP service that takes pushes.
"""

from .agent import FileAgent
from .disk import Disk
from .ledger import Ledger, Rejected
from .reader import TableReader
from .sets import FileSet

__all__ = ["Disk", "FileAgent", "FileSet", "Ledger", "Rejected", "TableReader"]
