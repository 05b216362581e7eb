"""The disk operations that are called by name, in the child process or, inline, in virtual time. They block.

All of them may raise OSError.
"""

import errno
import fcntl
import os
import time

from ..files.disk import Disk
from ..files.sets import FileSet
from ..store.epochs import EpochFiles
from ..store.log_writer import LogWriter
from ..store.orders import InvalidOrders, read_orders

MAX_LOCK_TRIES = 30  # one each 0.1 s; the child of a killed process ends within this time


class Work:
    """State that operations share: open sets, logs, custody folders and locks, each by its path.

    `lock`: whether folders are locked against other processes.
    """

    def __init__(self, disk=None, lock=True):
        self.disk, self.lock = disk or Disk(), lock
        self.sets, self.logs, self.epochs, self.locks = {}, {}, {}, {}

    def _lock(self, folder):
        """Lock a folder for this process, as the child of a killed process may still be running its last operation."""
        os.makedirs(folder, exist_ok=True)
        if self.lock and folder not in self.locks:
            descriptor = os.open(os.path.join(folder, ".lock"), os.O_RDWR | os.O_CREAT, 0o644)
            for attempt in range(MAX_LOCK_TRIES):
                try:
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if attempt + 1 == MAX_LOCK_TRIES:
                        os.close(descriptor)
                        raise OSError(errno.EBUSY, f"{folder}: another process holds it") from None
                    time.sleep(0.1)
            self.locks[folder] = descriptor

    def set_flush(self, flush):
        """Set whether written files are flushed to the disk."""
        self.disk.flush = flush

    def open_set(self, folder):
        """Open a set of files; returns its current generation's number and the names of removed leftovers."""
        self._lock(folder)
        self.sets[folder] = FileSet(folder, self.disk)
        return self.sets[folder].generation, self.sets[folder].cleared_leftovers

    def replace_set(self, folder, bodies):
        """Replace a set by a new generation; returns its number."""
        self.sets[folder].replace(bodies)
        return self.sets[folder].generation

    def open_log(self, path):
        """Open a log; returns the number of bytes of an incomplete last record that were cut off."""
        self._lock(path + ".d")
        self.logs[path] = LogWriter(path, self.disk)
        return self.logs[path].truncated_bytes

    def append_log(self, path, body):
        """Append to an open log; returns its size in bytes."""
        self.logs[path].append(body)
        return self.logs[path].size

    def rewrite_log(self, path, body):
        """Replace the contents of an open log; returns its size in bytes."""
        self.logs[path].rewrite(body)
        return self.logs[path].size

    def _epoch_files(self, folder, manager, managers):
        if folder not in self.epochs:
            self.epochs[folder] = EpochFiles(folder, manager, managers, self.disk)
        return self.epochs[folder]

    def write_heartbeat(self, folder, manager, managers, incarnation, counter):
        """Write the heartbeat of a manager; `incarnation` identifies its process."""
        self._epoch_files(folder, manager, managers).replace_heartbeat(incarnation, counter)

    def read_state(self, folder, manager, managers, known_epoch, sites):
        """Read the custody folder.

        Returns the heartbeats by manager number, the newest epoch after number `known_epoch` or None, the orders of
        operators or None, and the reason why those cannot be read.
        """
        files = self._epoch_files(folder, manager, managers)
        heartbeats, epoch = files.read_heartbeats(), files.newest(known_epoch)
        try:
            return heartbeats, epoch, read_orders(folder, managers, sites), ""
        except InvalidOrders as error:
            return heartbeats, epoch, None, str(error)

    def create_epoch(self, folder, manager, managers, epoch):
        """Create an epoch; returns False if its number exists already."""
        return self._epoch_files(folder, manager, managers).create(epoch)

    def write_file(self, path, body):
        """Replace a small file atomically, without a flush."""
        os.makedirs(os.path.dirname(path), exist_ok=True)
        temporary_path = f"{path}.{os.getpid()}.new"
        self.disk.remove(temporary_path)
        self.disk.write_new(temporary_path, body, flush=False)
        self.disk.rename(temporary_path, path)
