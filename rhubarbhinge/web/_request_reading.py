"""Request heads of callers, judged by h11 once for each form."""

from functools import lru_cache
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
from msgspec import Struct

from rhubarbhinge.web._heads import (
    FORMS_KEPT,
    has_bare_line_end,
    header_dict,
    mentions_length,
    split_form,
)

LENGTH_NAME = b"content-length"


class RequestHead(Struct, frozen=True):
    """What a request's head says, but for the body's length.

    :param method: the method.
    :param path: the path, percent-decoded, without the query.
    :param query: the query's parameters.
    :param headers: the headers, names in lower case.
    :param reusable: whether the caller keeps the connection open after the answer.
    :param awaits_continue: whether the caller waits for an interim answer before its body.
    :param target: path and query as they were sent.
    :param raw_headers: names and values as they were sent, without that of the body's length.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    reusable: bool
    awaits_continue: bool
    target: str
    raw_headers: tuple[tuple[bytes, bytes], ...]


def read_plain_request_head(head: bytes) -> tuple[RequestHead, int] | None:
    """Read a head that states the body's length in the plain way, or has no body.

    :param head: request line and headers with their closing empty line.
    :returns: the head and the body's length in bytes, or None for a head that needs a full parse.
    """
    split = split_form(head)
    if split is None:
        return None
    before, after, length = split
    form = _request_form(before, after)
    return None if form is None else (form, length or 0)


@lru_cache(FORMS_KEPT)
def _request_form(before: bytes, after: bytes) -> RequestHead | None:
    if has_bare_line_end(before + after) or mentions_length(before + after):
        return None
    reader = h11.Connection(h11.SERVER)
    try:
        reader.receive_data(before + b"Content-Length: 0" * bool(after) + after)
        request = reader.next_event()
        awaits_continue = reader.they_are_waiting_for_100_continue
        end = reader.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(request, h11.Request) or not isinstance(end, h11.EndOfMessage):
        return None
    return request_head(request, reader.their_state is h11.DONE, awaits_continue)


def request_head(
    event: h11.Request, reusable: bool = False, awaits_continue: bool = False
) -> RequestHead | None:
    """Turn h11's view of a head into ours.

    :param event: the request line and headers.
    :param reusable: whether the caller keeps the connection open after the answer.
    :param awaits_continue: whether the caller waits for an interim answer before its body.
    :returns: the head, or None when its path or query is not well-formed.
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
        if name.lower() != LENGTH_NAME
    )
    headers = header_dict(event.headers)
    return RequestHead(method, path, query, headers, reusable, awaits_continue, target, raw_headers)


def _split_target(target: str) -> tuple[str, str]:
    if target.startswith("/"):
        path, _, query = target.partition("?")
        return path, query
    parts = urlsplit(target)
    return parts.path, parts.query
