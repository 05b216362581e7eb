"""Hosts managers on the bench's wire, standard input to standard output."""

import sys

from .host import serve

serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)
