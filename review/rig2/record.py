"""The record of a case: what was sent, answered and run, one line each with the time since the start."""

import time


class Record:
    """Writes lines to a file; `elapsed()` is the time in seconds since the record was opened."""

    def __init__(self, path):
        self.file, self.started_s = open(path, "w", encoding="utf-8"), time.monotonic()

    def elapsed(self):
        """Seconds since the record was opened."""
        return time.monotonic() - self.started_s

    def write(self, text):
        """Write one line with the present time."""
        self.file.write(f"{self.elapsed():9.3f} {text}\n")

    def close(self):
        """Write everything out and close the file."""
        self.file.close()
