"""Decodes content codings of RFC 9110 within limits: gzip and zstandard (RFC 8878). No I/O."""

import zlib

import zstandard

MAX_BODY = 8 << 20  # bytes of a body as sent
MAX_DECODED_BODY = 32 << 20  # bytes once decompressed; more counts as a decompression bomb


class BadBody(Exception):
    """A body cannot be decoded or parsed. `reason` is one of a few counter keys; the text names the field."""

    def __init__(self, reason, text=""):
        super().__init__(text or reason)
        self.reason = reason


def decode_body(body, encoding):
    """The decoded bytes of `body`; `encoding` is the value of content-encoding. Raises BadBody.

    Sizes are checked before the memory is allocated.
    """
    if len(body) > MAX_BODY:
        raise BadBody("too large")
    try:
        if encoding in ("", "identity"):
            return body
        if encoding == "gzip":
            decompressor = zlib.decompressobj(31)
            data = decompressor.decompress(body, MAX_DECODED_BODY + 1)
            if len(data) > MAX_DECODED_BODY or decompressor.unconsumed_tail:
                raise BadBody("bomb", f"more than {MAX_DECODED_BODY} bytes once decompressed")
            if not decompressor.eof:
                raise BadBody("malformed", "the gzip stream is cut off")
            return data
        if encoding == "zstd":
            decompressor, data = (
                zstandard.ZstdDecompressor(max_window_size=8 << 20).decompressobj(read_across_frames=False),
                b"",
            )
            for start in range(0, len(body), 4096):
                data += decompressor.decompress(body[start : start + 4096])
                if len(data) > MAX_DECODED_BODY:
                    raise BadBody("bomb", f"more than {MAX_DECODED_BODY} bytes once decompressed")
            if not decompressor.eof:
                raise BadBody("malformed", "the zstd frame is cut off")
            return data
    except (zlib.error, zstandard.ZstdError) as error:
        raise BadBody("malformed", str(error)) from None
    raise BadBody("unknown encoding", f"content-encoding {encoding:.40}")
