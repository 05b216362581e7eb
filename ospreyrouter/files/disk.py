"""The system calls that change files, in one class, so that tests can make each of them fail or be the last one."""

import os
import shutil


class Disk:
    """File operations; all of them raise OSError.

    With `flush=False` flushing is left to the operating system: a killed process loses nothing by that, a power failure
    may lose the last writes.
    """

    def __init__(self, flush=True):
        self.flush = flush

    def make_folder(self, path):
        """Creates a folder that must not exist."""
        os.mkdir(path)

    def append(self, handle, body):
        """Writes all of `body` to an open file and flushes it."""
        view = memoryview(body)
        while view:
            view = view[os.write(handle, view) :]
        if self.flush:
            self.flush_file(handle)

    def flush_file(self, handle):
        """Flushes the content of an open file to the disk."""
        os.fdatasync(handle)

    def write_new(self, path, body, flush=True):
        """Creates a file with this content; the path must not exist, so that no existing file is ever edited."""
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
        try:
            view = memoryview(body)
            while view:
                view = view[os.write(handle, view) :]
            if self.flush and flush:
                self.flush_file(handle)
        finally:
            os.close(handle)

    def link(self, old, new):
        """Creates a hard link `new` to the file `old`."""
        os.link(old, new)

    def flush_folder(self, path):
        """Flushes the entries of a folder to the disk."""
        if self.flush:
            handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)

    def swap_symlink(self, link, target):
        """Points a symbolic link to another target, atomically by a rename."""
        temporary = f"{link}.new"
        try:
            os.unlink(temporary)
        except FileNotFoundError:
            pass
        os.symlink(target, temporary)
        os.rename(temporary, link)

    def rename(self, old, new):
        """Renames a file, replacing `new`."""
        os.rename(old, new)

    def remove(self, path):
        """Removes a file, or a folder with its content; a path that does not exist is no error."""
        if os.path.isdir(path) and not os.path.islink(path):
            shutil.rmtree(path, ignore_errors=True)
        else:
            try:
                os.unlink(path)
            except FileNotFoundError:
                pass
