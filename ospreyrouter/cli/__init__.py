"""The command line, built with `click`. Logs are JSON lines on standard error, written with `structlog`."""

from .main import main

__all__ = ["main"]
