"""`python -m ospreyrouter`: the same as the command `ospreyrouter`."""

from .cli import main

main()
