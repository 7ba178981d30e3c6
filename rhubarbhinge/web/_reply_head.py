"""Reply heads, parsed by h11 and cached."""

from functools import lru_cache

import h11
from msgspec import Struct

from rhubarbhinge.web._heads import (
    BODILESS_STATUSES,
    HEAD_CACHE_SIZE,
    has_bare_cr_or_lf,
    header_dict,
    mentions_body_length,
    split_content_length,
)

MAX_REPLY_HEAD_BYTES = 64 * 1024
"""Maximum size of a reply's status line and headers."""


class ReplyHead(Struct, frozen=True):
    """The content of a reply head, except for the body's length.

    :param status: the status code.
    :param headers: the other headers, names in lower case.
    :param reusable: whether the upstream keeps the connection open after this reply.
    """

    status: int
    headers: dict[str, str]
    reusable: bool


def parse_cacheable_reply_head(head: bytes) -> tuple[ReplyHead, int] | None:
    """Parse a head with a plain ``Content-Length`` header, using the cache.

    :param head: the status line and headers, including the closing empty line.
    :returns: the head and the body's length in bytes; None if the head has to be parsed by h11.
    """
    split = split_content_length(head)
    if split is None or split[2] is None:
        return None
    parsed_head = _parse_reply_head(split[0], split[1])
    return None if parsed_head is None else (parsed_head, split[2])


@lru_cache(HEAD_CACHE_SIZE)
def _parse_reply_head(before: bytes, after: bytes) -> ReplyHead | None:
    if has_bare_cr_or_lf(before + after) or mentions_body_length(before + after):
        return None
    connection = h11_client_connection("GET")
    try:
        connection.receive_data(before + b"Content-Length: 0" + after)
        response, end = connection.next_event(), connection.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(response, h11.Response) or not isinstance(end, h11.EndOfMessage):
        return None
    if response.status_code in BODILESS_STATUSES:
        return None
    headers = header_dict(response.headers)
    del headers["content-length"]
    return ReplyHead(response.status_code, headers, connection.their_state is h11.DONE)


def h11_client_connection(method: str) -> h11.Connection:
    """Create an h11 connection that expects a reply.

    :param method: the request method.
    :returns: the connection.
    """
    connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEAD_BYTES)
    connection.send(h11.Request(method=method, target="/", headers=[("Host", "")]))
    connection.send(h11.EndOfMessage())
    return connection
