"""Serves load balancers that speak SASP (RFC 4678): they get weights by push or on request."""

from .service import SaspFront

__all__ = ["SaspFront"]
