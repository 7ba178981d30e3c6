"""Encoding of responses; heads are encoded and validated by h11, and cached."""

import gzip
from functools import lru_cache
from http import HTTPStatus

import h11

from rhubarbhinge.web._heads import BODILESS_STATUSES, HEAD_CACHE_SIZE
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._response import Response

GZIP_LEVEL = 5
"""Compromise between speed (1) and size (9): responses are small, and clients' networks slow."""

GZIP_HEADERS = (("Content-Encoding", "gzip"), ("Vary", "Accept-Encoding"))
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONTENT_LENGTH_PREFIX = b"Content-Length: "
ZERO_CONTENT_LENGTH = CONTENT_LENGTH_PREFIX + b"0\r\n\r\n"
ZERO_QUALITIES = ("q=0", "q=0.0", "q=0.00", "q=0.000")


def encode_response(
    response: Response, request: Request | None, closes_connection: bool, gzip_min_bytes: int = 0
) -> bytes:
    """Encode a response.

    :param response: the response.
    :param request: the request; None if no request could be parsed.
    :param closes_connection: whether the connection is closed after the response.
    :param gzip_min_bytes: minimum size of a body that is compressed if the client accepts it.
    :returns: the bytes to send.
    :raises ValueError: if the headers are invalid.
    """
    body, headers = response.body, response.headers
    if request and len(body) >= gzip_min_bytes and _may_compress(request, response):
        body = _gzip(body)
        headers += GZIP_HEADERS
    start = _encode_head_start(response.status, response.content_type, headers, closes_connection)
    if response.status in BODILESS_STATUSES:
        return start + b"\r\n"
    head = b"%bContent-Length: %d\r\n\r\n" % (start, len(body))
    if request and request.method == "HEAD":
        return head
    return head + body


@lru_cache(1)
def _gzip(body: bytes) -> bytes:
    """Compress a body.

    The last result is cached, since some bodies, such as published state, are sent to many clients.
    """
    return gzip.compress(body, GZIP_LEVEL, mtime=0)


@lru_cache(HEAD_CACHE_SIZE)
def _encode_head_start(
    status: int, content_type: str, headers: tuple[tuple[str, str], ...], closes_connection: bool
) -> bytes:
    fields = [("Connection", "close")] if closes_connection else []
    if status not in BODILESS_STATUSES and content_type:
        fields.append(("Content-Type", content_type))
    fields += [*headers, ("Content-Length", "0")]
    try:
        # Forwarded header values may contain any byte above 127 (RFC 9110, 5.5).
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]
        response = h11.Response(status_code=status, headers=raw, reason=_reason_phrase(status))
        head = h11.Connection(h11.SERVER).send(response)
    except h11.LocalProtocolError as error:
        raise ValueError(f"invalid response head: {error}") from error
    if not head.endswith(ZERO_CONTENT_LENGTH):
        raise ValueError("Content-Length is set by the encoder")
    return head[: -len(ZERO_CONTENT_LENGTH)]


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"


def _may_compress(request: Request, response: Response) -> bool:
    is_coded = any(name.lower() == "content-encoding" for name, _ in response.headers)
    return not is_coded and _accepts_gzip(request)


def _accepts_gzip(request: Request) -> bool:
    for element in request.headers.get("accept-encoding", "").split(","):
        content_coding, _, quality = element.partition(";")
        if content_coding.strip().lower() == "gzip":
            return quality.replace(" ", "") not in ZERO_QUALITIES
    return False
