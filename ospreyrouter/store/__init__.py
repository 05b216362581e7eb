"""Files that managers share: published tables, custody of slices, operators' orders, changes and worker lists.

`tables` and `epochs` read the shared files; the writers (`log_writer`, `epochs`) are called by the helper process.
"""

from .epochs import EpochFiles
from .tables import TableStore
from .worker_lists import read_worker_list, worker_list_path

__all__ = ["EpochFiles", "TableStore", "read_worker_list", "worker_list_path"]
