"""`Content-Digest` of RFC 9530, which detects altered or truncated bodies."""

import base64
import hashlib


def content_digest(body):
    """The value of the header field for a body, with SHA-256."""
    return "sha-256=:" + base64.b64encode(hashlib.sha256(body).digest()).decode() + ":"


def digest_matches(field, body):
    """Whether `field` has a SHA-256 digest that matches the body; other algorithms are ignored, None is no match."""
    for part in (field or "").split(","):
        name, _, value = part.strip().partition("=")
        if name == "sha-256":
            return value == content_digest(body).partition("=")[2]
    return False
