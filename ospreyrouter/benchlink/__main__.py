"""Hosts managers for the simulator, which writes to standard input and reads standard output."""

import sys

from .host import serve

serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)
