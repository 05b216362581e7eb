"""HTTP/1.1 (RFC 9110, RFC 9112) on the streams of the loop, with `h11`: server, client and body digests."""

from .client import Client, Response
from .digest import content_digest, digest_matches
from .server import Request, Server

__all__ = ["Response", "Client", "Request", "Server", "content_digest", "digest_matches"]
