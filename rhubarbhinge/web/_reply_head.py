"""Reply heads, judged by h11 once for each form."""

from functools import lru_cache

import h11
from msgspec import Struct

from rhubarbhinge.web._heads import (
    FORMS_KEPT,
    WITHOUT_BODY,
    has_bare_line_end,
    header_dict,
    mentions_length,
    split_form,
)

REPLY_HEAD_BYTES = 64 * 1024
"""Most bytes of a reply's status line and headers."""


class ReplyHead(Struct, frozen=True):
    """What a head says, but for the body's length.

    :param status: the status code.
    :param headers: the other headers, names in lower case.
    :param reusable: whether the upstream keeps the connection open after this reply.
    """

    status: int
    headers: dict[str, str]
    reusable: bool


def read_plain_reply_head(head: bytes) -> tuple[ReplyHead, int] | None:
    """Read a head that states the body's length in the plain way.

    :param head: status line and headers with their closing empty line.
    :returns: the head and the body's length in bytes, or None for a head that needs a full parse.
    """
    split = split_form(head)
    if split is None or split[2] is None:
        return None
    form = _reply_form(split[0], split[1])
    return None if form is None else (form, split[2])


@lru_cache(FORMS_KEPT)
def _reply_form(before: bytes, after: bytes) -> ReplyHead | None:
    if has_bare_line_end(before + after) or mentions_length(before + after):
        return None
    reader = reply_reader("GET")
    try:
        reader.receive_data(before + b"Content-Length: 0" + after)
        response, end = reader.next_event(), reader.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(response, h11.Response) or not isinstance(end, h11.EndOfMessage):
        return None
    if response.status_code in WITHOUT_BODY:
        return None
    headers = header_dict(response.headers)
    del headers["content-length"]
    return ReplyHead(response.status_code, headers, reader.their_state is h11.DONE)


def reply_reader(method: str) -> h11.Connection:
    """Make an h11 connection that waits for a reply.

    :param method: the request's method.
    :returns: the connection.
    """
    reader = h11.Connection(h11.CLIENT, max_incomplete_event_size=REPLY_HEAD_BYTES)
    reader.send(h11.Request(method=method, target="/", headers=[("Host", "")]))
    reader.send(h11.EndOfMessage())
    return reader
