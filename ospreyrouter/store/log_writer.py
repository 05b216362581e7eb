"""Writer of an append-only log with a single writer: append and flush, undo of failed appends, atomic rewrite."""

import os


class LogWriter:
    """Opens the log at `path`, creating it if necessary, and removes an incomplete last line left by a crash.

    `truncated_bytes` is the length of what was removed, `size` the length of the log, both in bytes.
    """

    def __init__(self, path, disk):
        self.path, self.disk = path, disk
        os.makedirs(os.path.dirname(path), exist_ok=True)
        self.truncated_bytes = self._truncate_tail()
        self.handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.size = os.fstat(self.handle).st_size

    def _truncate_tail(self):
        """Removes the bytes after the last complete line and returns their number."""
        try:
            with open(self.path, "r+b") as file:
                body = file.read()
                valid_size = body.rfind(b"\n") + 1
                file.truncate(valid_size)
                return len(body) - valid_size
        except FileNotFoundError:
            return 0

    def append(self, body):
        """Appends and flushes `body`. Raises OSError, after truncating the log to its previous size."""
        try:
            self.disk.append(self.handle, body)
        except OSError:
            os.ftruncate(self.handle, self.size)
            raise
        self.size += len(body)

    def rewrite(self, body):
        """Replaces the log by `body` through a temporary file and a rename.

        Raises OSError. If that happens before the rename, the old log is still in place; after it, the new one is.
        """
        temporary = self.path + ".new"
        self.disk.remove(temporary)
        self.disk.write_new(temporary, body)
        new_handle = os.open(temporary, os.O_WRONLY | os.O_APPEND)
        try:
            self.disk.rename(temporary, self.path)
        except OSError:
            os.close(new_handle)
            raise
        # From here on the path names the new file: appends to the old handle would be lost.
        os.close(self.handle)
        self.handle, self.size = new_handle, len(body)
        self.disk.flush_folder(os.path.dirname(self.path))
