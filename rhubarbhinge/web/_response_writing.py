"""Answers as bytes; their heads are written and checked by h11 and kept for reuse."""

import gzip
from functools import lru_cache
from http import HTTPStatus

import h11

from rhubarbhinge.web._heads import FORMS_KEPT, WITHOUT_BODY
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._response import Response

GZIP_LEVEL = 5
"""Between speed (1) and size (9): answers are small, callers' networks slow."""

GZIP_HEADERS = (("Content-Encoding", "gzip"), ("Vary", "Accept-Encoding"))
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LENGTH_START = b"Content-Length: "
NO_LENGTH = LENGTH_START + b"0\r\n\r\n"
ZERO_QUALITIES = ("q=0", "q=0.0", "q=0.00", "q=0.000")


def encode_response(
    response: Response, request: Request | None, closes: bool, gzip_least_bytes: int = 0
) -> bytes:
    """Write an answer.

    :param response: the answer.
    :param request: what is answered, or None when no request could be read.
    :param closes: whether the connection is closed after the answer.
    :param gzip_least_bytes: body size from which to compress if the caller accepts it.
    :returns: the bytes to send.
    :raises ValueError: when the answer's headers are not well-formed.
    """
    body, headers = response.body, response.headers
    if request and len(body) >= gzip_least_bytes and _may_compress(request, response):
        body = _compressed(body)
        headers += GZIP_HEADERS
    start = _head_start(response.status, response.content_type, headers, closes)
    if response.status in WITHOUT_BODY:
        return start + b"\r\n"
    head = b"%bContent-Length: %d\r\n\r\n" % (start, len(body))
    if request and request.method == "HEAD":
        return head
    return head + body


@lru_cache(1)
def _compressed(body: bytes) -> bytes:
    """Compress a body; one that goes to many at once, as published state does, costs that once."""
    return gzip.compress(body, GZIP_LEVEL, mtime=0)


@lru_cache(FORMS_KEPT)
def _head_start(
    status: int, content_type: str, headers: tuple[tuple[str, str], ...], closes: bool
) -> bytes:
    fields = [("Connection", "close")] if closes else []
    if status not in WITHOUT_BODY and content_type:
        fields.append(("Content-Type", content_type))
    fields += [*headers, ("Content-Length", "0")]
    try:
        # Values that are passed on may hold any byte above 127 (RFC 9110, 5.5).
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]
        response = h11.Response(status_code=status, headers=raw, reason=_reason(status))
        head = h11.Connection(h11.SERVER).send(response)
    except h11.LocalProtocolError as error:
        raise ValueError(f"an answer's head is not well-formed: {error}") from error
    if not head.endswith(NO_LENGTH):
        raise ValueError("the length of an answer's body is worked out here")
    return head[: -len(NO_LENGTH)]


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"


def _may_compress(request: Request, response: Response) -> bool:
    is_coded = any(name.lower() == "content-encoding" for name, _ in response.headers)
    return not is_coded and _accepts_gzip(request)


def _accepts_gzip(request: Request) -> bool:
    for choice in request.headers.get("accept-encoding", "").split(","):
        coding, _, quality = choice.partition(";")
        if coding.strip().lower() == "gzip":
            return quality.replace(" ", "") not in ZERO_QUALITIES
    return False
