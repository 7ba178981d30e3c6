"""Heads of requests and answers, by h11 with a cache.

A caller's heads hardly differ from one request to the next, so that each is parsed only once:
h11 takes most of a request's cost otherwise (docs/standins.md).
"""

from dataclasses import dataclass
from functools import lru_cache
from urllib.parse import parse_qsl, urlsplit

import h11

_CACHED_HEADS = 4096


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a request.

    :param method: The method in capitals.
    :param path: The path without its query.
    :param query: The query's fields.
    :param headers: The headers, names in lower case.
    :param body_bytes: The length of the body.
    :param closes: Whether the caller wants the connection closed after the answer.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body_bytes: int
    closes: bool


@lru_cache(maxsize=_CACHED_HEADS)
def parse_head(data: bytes) -> Head | None:
    """Parse the head of a request.

    :param data: The head with its empty line.
    :returns: The head; None when it is malformed or announces a body in chunks.
    """
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    try:
        event = parser.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.Request):
        return None
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
    if "transfer-encoding" in headers:
        return None
    return _head(event, headers)


@lru_cache(maxsize=_CACHED_HEADS)
def answer_head(status: int, headers: tuple[tuple[str, str], ...], body_bytes: int) -> bytes:
    """Encode the head of an answer.

    :param status: The HTTP status.
    :param headers: Headers besides those of the body.
    :param body_bytes: The length of the body.
    :returns: The head with its empty line.
    """
    about_body = [("Content-Type", "application/json"), ("Content-Length", str(body_bytes))]
    if status == 204:
        about_body = []
    writer = h11.Connection(h11.SERVER)
    return writer.send(h11.Response(status_code=status, headers=[*about_body, *headers]))


def _head(event: h11.Request, headers: dict[str, str]) -> Head:
    target = urlsplit(event.target.decode("latin-1"))
    connection = headers.get("connection", "").lower()
    return Head(
        method=event.method.decode("ascii"),
        path=target.path,
        query=dict(parse_qsl(target.query)),
        headers=headers,
        body_bytes=int(headers.get("content-length", "0")),
        closes="close" in connection or event.http_version == b"1.0",
    )
