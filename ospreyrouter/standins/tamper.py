"""A relay between a manager and a file agent that alters, repeats, delays and loses pushes."""

from random import Random

import orjson
import zstandard

from ..web import Client, Server, content_digest

TAMPERINGS = ("flip a byte", "alter a weight", "repeat", "delay", "lose")


class TamperingRelay:
    """Listens on `listen` for the agent and forwards requests to it at `target`.

    It tampers with a `share` of the pushes, in one of the ways of TAMPERINGS each, and counts these in `counts`.
    """

    def __init__(self, loop, listen, target, share, seed, counts):
        self.loop, self.target, self.share, self.counts = loop, target, share, counts
        self.rng = Random(f"tamper/{seed}")
        self.server = Server(loop, listen, self._request)

    def _request(self, request):
        tampering = (
            self.rng.choice(TAMPERINGS)
            if request.path.startswith("/v3/tables") and self.rng.random() < self.share
            else ""
        )
        headers, body = dict(request.headers), request.body
        if tampering == "alter a weight":
            headers, body, tampering = self._alter_weight(headers, body, tampering)
        elif tampering == "flip a byte":
            index = self.rng.randrange(len(body))
            body = body[:index] + bytes([body[index] ^ 4]) + body[index + 1 :]
        if tampering:
            self.counts[tampering] += 1
        if tampering == "lose":
            request.connection.abort("lost")
            return
        delay_us = self.rng.randint(50_000, 900_000) if tampering == "delay" else 0
        self.loop.after(delay_us, lambda: self._forward(request, headers, body, 2 if tampering == "repeat" else 1))

    def _alter_weight(self, headers, body, tampering):
        """(headers, body, tampering) with 0.5 added to a worker's weight and the content digest corrected.

        Only the digest of the table shows the change. Without a line in the body nothing is altered.
        """
        original = body
        if headers.get("content-encoding") == "zstd":
            body = zstandard.ZstdDecompressor().decompressobj().decompress(body)
        parts = orjson.loads(body)
        lines = [
            line
            for part in parts
            for resource in part["resources"]
            for locality in resource.get("endpoints", ())
            for line in locality["lbEndpoints"]
        ]
        if not lines:
            return headers, original, ""
        line, name = self.rng.choice(lines), None
        name = line["endpoint"]["hostname"]
        for part in parts:
            for resource in part["resources"]:
                for locality in resource.get("endpoints", ()):
                    weights = (
                        locality.get("metadata", {})
                        .get("filterMetadata", {})
                        .get("ospreyrouter", {})
                        .get("weights", {})
                    )
                    if name in weights:
                        weights[name] += 0.5
        body = orjson.dumps(parts)
        headers = {name: value for name, value in headers.items() if name != "content-encoding"}
        return headers | {"content-digest": content_digest(body)}, body, tampering

    def _forward(self, request, headers, body, times):
        forwarded_headers = [(name, value) for name, value in headers.items() if name not in ("host", "content-length")]
        client = request.connection.context
        if client is None or client.closed:
            client = request.connection.context = Client(self.loop, self.target)
        for repetition in range(times):
            on_response = (
                (
                    lambda response: (
                        request.respond(
                            response.status,
                            [
                                (header, header_value)
                                for header, header_value in response.headers.items()
                                if header == "etag"
                            ],
                            response.body,
                        )
                        if response.status
                        else request.connection.abort("lost")
                    )
                )
                if repetition == 0
                else (lambda response: None)
            )
            client.send_request(request.method, request.path, forwarded_headers, body, on_response, 10_000_000)
