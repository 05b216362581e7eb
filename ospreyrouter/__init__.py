"""ospreyrouter: a table manager that assigns servers to proxies."""

__version__ = "0.1.0"
