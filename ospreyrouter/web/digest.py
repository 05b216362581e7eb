"""`Content-Digest` of RFC 9530: proof that a body came through unaltered and whole."""

import base64
import hashlib


def content_digest(body):
    return "sha-256=:" + base64.b64encode(hashlib.sha256(body).digest()).decode() + ":"


def digest_matches(field, body):
    """Whether the field names a sha-256 digest and it is the body's; other algorithms are not enough."""
    for part in (field or "").split(","):
        name, _, value = part.strip().partition("=")
        if name == "sha-256":
            return value == content_digest(body).partition("=")[2]
    return False
