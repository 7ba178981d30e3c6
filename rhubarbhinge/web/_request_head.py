"""Request heads, written and checked by h11 and kept for reuse."""

from functools import lru_cache

import h11

HEADS_KEPT = 1024
"""Heads kept; calls to one upstream differ in their bodies, not in their heads."""


def encode_request(
    method: str, path: str, host: str, body: bytes, headers: tuple[tuple[str, str], ...]
) -> bytes:
    """Write a request.

    :param method: the method.
    :param path: the path with its query, percent-encoded.
    :param host: value of the ``Host`` header.
    :param body: the whole body.
    :param headers: more headers; none of them may be about the body's length.
    :returns: the bytes to send.
    :raises ValueError: when a part of the head is not well-formed.
    """
    return b"%bContent-Length: %d\r\n\r\n%b" % (
        _head_start(method, path, host, headers),
        len(body),
        body,
    )


@lru_cache(HEADS_KEPT)
def _head_start(method: str, path: str, host: str, headers: tuple[tuple[str, str], ...]) -> bytes:
    if any(name.lower() in ("content-length", "transfer-encoding") for name, _ in headers):
        raise ValueError("the length of a request's body is worked out here")
    try:
        request = h11.Request(method=method, target=path, headers=[("Host", host), *headers])
        head = h11.Connection(h11.CLIENT).send(request)
    except h11.LocalProtocolError as error:
        raise ValueError(f"a request's head is not well-formed: {error}") from error
    return head[: -len(b"\r\n")]
