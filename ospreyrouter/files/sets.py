"""A set of files that changes atomically: a folder for each generation, and a symbolic link swapped by a rename.

    files = FileSet(folder, disk)
    files.replace({"tables-0000.json": body, ...})    # keeps the other files; on OSError the old set stays in force

Layout: FOLDER/current -> generations/0000000017, with every file of the set in each generation. A file that did not
change is a hard link to the one before, so that readers can tell by its inode. Some older generations are kept: a
reader that opened its folder just before a swap can finish reading it.
"""

import os

KEPT_GENERATIONS = 4  # older generations that stay beside the one in force


class FileSet:
    """The set of files in `folder`, continued from a former process; what that process left unfinished is removed.

    `generation` is the number of the generation in force, 0 if there is none; `cleared_leftovers` has the names of the
    generation folders that were removed at the start. The constructor raises OSError.
    """

    def __init__(self, folder, disk):
        self.folder, self.disk = os.path.abspath(folder), disk
        self.generations, self.link = os.path.join(self.folder, "generations"), os.path.join(self.folder, "current")
        os.makedirs(self.generations, exist_ok=True)
        self.generation = self._linked_generation()
        self.cleared_leftovers = self._clear_leftovers()

    def _linked_generation(self):
        """Returns the number of the generation that the link points to, 0 if there is none."""
        try:
            name = os.path.basename(os.readlink(self.link))
        except OSError:
            return 0
        is_valid = name.isdigit() and os.path.isdir(os.path.join(self.generations, name))
        return int(name) if is_valid else 0

    def _clear_leftovers(self):
        """Removes what a crash left, folders that were never swapped in and a link that was not renamed, and older
        generations beyond the kept ones. Returns the names of the removed folders.
        """
        cleared = []
        for name in sorted(os.listdir(self.generations)):
            if not name.isdigit() or int(name) > self.generation or int(name) < self.generation - KEPT_GENERATIONS:
                self.disk.remove(os.path.join(self.generations, name))
                cleared.append(name)
        self.disk.remove(self.link + ".new")
        return cleared

    def path(self, number=None):
        """Returns the folder of a generation, by default of the one in force."""
        return os.path.join(self.generations, f"{self.generation if number is None else number:010d}")

    def names(self):
        """Returns the sorted names of the files in force."""
        return sorted(os.listdir(self.path())) if self.generation else []

    def read(self, name):
        """Returns the content of a file in force, in bytes. Raises OSError."""
        with open(os.path.join(self.path(), name), "rb") as file:
            return file.read()

    def replace(self, bodies, removed=()):
        """Creates a generation with the files in `bodies` written, those in `removed` left out and all others kept, and
        puts it in force. Raises OSError; unless only the last flush failed, the old generation is then in force.
        """
        new_folder = self.path(self.generation + 1)
        try:
            # A failed attempt may have left a folder with this number.
            if os.path.lexists(new_folder):
                self.disk.remove(new_folder)
            self.disk.make_folder(new_folder)
            for name in self.names():
                if name not in bodies and name not in removed:
                    self.disk.link(os.path.join(self.path(), name), os.path.join(new_folder, name))
            for name, body in bodies.items():
                self.disk.write_new(os.path.join(new_folder, name), body)
            self.disk.flush_folder(new_folder)
            self.disk.flush_folder(self.generations)
            self.disk.swap_symlink(self.link, os.path.join("generations", f"{self.generation + 1:010d}"))
        except OSError:
            # The link may have been swapped and only its flush have failed: what readers see decides.
            if self._linked_generation() != self.generation + 1:
                self.disk.remove(new_folder)
                raise
        self.generation += 1
        try:
            self.disk.flush_folder(self.folder)
        finally:
            self.disk.remove(self.path(self.generation - KEPT_GENERATIONS - 1))
