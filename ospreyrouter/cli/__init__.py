"""The command line, by `click`; logs are JSON lines on standard error, by `structlog`."""

from .main import main

__all__ = ["main"]
