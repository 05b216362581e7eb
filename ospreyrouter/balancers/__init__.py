"""The second front as a service: balancers that speak SASP (RFC 4678) get weights by push or on request."""

from .service import SaspFront

__all__ = ["SaspFront"]
