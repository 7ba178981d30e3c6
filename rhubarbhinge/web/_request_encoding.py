"""Encoding of requests; heads are encoded and validated by h11, and cached."""

from functools import lru_cache

import h11

MAX_CACHED_HEADS = 1024
"""Number of cached heads; requests to one upstream usually differ in their bodies only."""


def encode_request(
    method: str, path: str, host: str, body: bytes, headers: tuple[tuple[str, str], ...]
) -> bytes:
    """Encode a request.

    :param method: the request method.
    :param path: the path and query, percent-encoded.
    :param host: value of the ``Host`` header.
    :param body: the request body.
    :param headers: additional headers, none of which may define the body's length.
    :returns: the bytes to send.
    :raises ValueError: if the method, path or headers are invalid.
    """
    return b"%bContent-Length: %d\r\n\r\n%b" % (
        _encode_head(method, path, host, headers),
        len(body),
        body,
    )


@lru_cache(MAX_CACHED_HEADS)
def _encode_head(method: str, path: str, host: str, headers: tuple[tuple[str, str], ...]) -> bytes:
    if any(name.lower() in ("content-length", "transfer-encoding") for name, _ in headers):
        raise ValueError("Content-Length and Transfer-Encoding are set by the encoder")
    try:
        request = h11.Request(method=method, target=path, headers=[("Host", host), *headers])
        head = h11.Connection(h11.CLIENT).send(request)
    except h11.LocalProtocolError as error:
        raise ValueError(f"invalid request head: {error}") from error
    return head[: -len(b"\r\n")]
