"""Codecs for documents of the public xDS API in the proto3 JSON mapping: tables, levels, pushes and load reports.

No I/O: they convert between JSON bytes or plain values and dataclasses. An InvalidDocument names field and reason.
"""

from .documents import InvalidDocument, Line, Table

__all__ = ["InvalidDocument", "Line", "Table"]
