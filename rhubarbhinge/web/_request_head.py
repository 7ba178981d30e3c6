"""Request heads, parsed by h11 and cached."""

from functools import lru_cache
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
from msgspec import Struct

from rhubarbhinge.web._heads import (
    HEAD_CACHE_SIZE,
    has_bare_cr_or_lf,
    header_dict,
    mentions_body_length,
    split_content_length,
)

CONTENT_LENGTH = b"content-length"


class RequestHead(Struct, frozen=True):
    """The content of a request head, except for the body's length.

    :param method: the method.
    :param path: the path, percent-decoded, without the query.
    :param query: the query parameters.
    :param headers: the headers, names in lower case.
    :param reusable: whether the client keeps the connection open after the response.
    :param awaits_continue: whether the client expects ``100 Continue`` before it sends the body.
    :param target: the path and query as sent.
    :param raw_headers: names and values as sent, except for the body's length.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    reusable: bool
    awaits_continue: bool
    target: str
    raw_headers: tuple[tuple[bytes, bytes], ...]


def parse_cacheable_request_head(head: bytes) -> tuple[RequestHead, int] | None:
    """Parse a head with a plain ``Content-Length`` header or without a body, using the cache.

    :param head: the request line and headers, including the closing empty line.
    :returns: the head and the body's length in bytes; None if the head has to be parsed by h11.
    """
    split = split_content_length(head)
    if split is None:
        return None
    before, after, length = split
    parsed_head = _parse_request_head(before, after)
    return None if parsed_head is None else (parsed_head, length or 0)


@lru_cache(HEAD_CACHE_SIZE)
def _parse_request_head(before: bytes, after: bytes) -> RequestHead | None:
    if has_bare_cr_or_lf(before + after) or mentions_body_length(before + after):
        return None
    connection = h11.Connection(h11.SERVER)
    try:
        connection.receive_data(before + b"Content-Length: 0" * bool(after) + after)
        request = connection.next_event()
        awaits_continue = connection.they_are_waiting_for_100_continue
        end = connection.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(request, h11.Request) or not isinstance(end, h11.EndOfMessage):
        return None
    return to_request_head(request, connection.their_state is h11.DONE, awaits_continue)


def to_request_head(
    event: h11.Request, reusable: bool = False, awaits_continue: bool = False
) -> RequestHead | None:
    """Convert a request event of h11.

    :param event: the request line and headers.
    :param reusable: whether the client keeps the connection open after the response.
    :param awaits_continue: whether the client expects ``100 Continue`` before it sends the body.
    :returns: the head; None if its path or query is invalid.
    """
    try:
        target = event.target.decode("ascii")
        raw_path, raw_query = _split_target(target)
        path = unquote(raw_path, errors="strict")
        query = dict(parse_qsl(raw_query, keep_blank_values=True, errors="strict"))
    except ValueError:
        return None
    method = event.method.decode("ascii")
    raw_headers = tuple(
        (bytes(name), bytes(value))
        for name, value in event.headers.raw_items()
        if name.lower() != CONTENT_LENGTH
    )
    headers = header_dict(event.headers)
    return RequestHead(method, path, query, headers, reusable, awaits_continue, target, raw_headers)


def _split_target(target: str) -> tuple[str, str]:
    if target.startswith("/"):
        path, _, query = target.partition("?")
        return path, query
    parts = urlsplit(target)
    return parts.path, parts.query
