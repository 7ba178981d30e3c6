"""Parsing helpers shared by request heads and reply heads.

Parsing a head with h11 takes most of the time of a call. Most heads from one peer differ only in
the value of ``Content-Length``, so the result of h11 is cached for the head without that header.
Heads that state the body's length in any other way are always parsed by h11.
"""

import re
from collections.abc import Iterable

HEAD_END = b"\r\n\r\n"
"""End of a head; bare line feeds are not accepted as line endings."""

HEAD_CACHE_SIZE = 1024
"""Number of parsed heads kept in each cache; a ``Date`` header adds a new one each second."""

MAX_CACHED_HEAD_BYTES = 2048
"""Maximum size of a head that is cached, to limit the memory that peers can use up."""

CACHEABLE_CONTENT_LENGTH = re.compile(
    rb"(?<=\r\n)[Cc]ontent-[Ll]ength: (0|[1-9][0-9]{0,8})(?=\r\n)"
)
"""The only form of a length header that allows caching the rest of the head; up to nine digits."""

CONTENT_LENGTH_FIELD = re.compile(rb"\n *content-length *:([^\r\n]*)")
BODY_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")

BODILESS_STATUSES = (204, 304)
"""Status codes of replies that never have a body, whatever their headers say (RFC 9110, 6.4.1)."""


def split_content_length(head: bytes) -> tuple[bytes, bytes, int | None] | None:
    """Split a head at its ``Content-Length`` header.

    :param head: the start line and headers, including the closing empty line.
    :returns: the parts before and after the header, and its value, which is None for a head without
        a cacheable length header; or None for a head that is too large to be cached.
    """
    if len(head) > MAX_CACHED_HEAD_BYTES:
        return None
    found = CACHEABLE_CONTENT_LENGTH.search(head)
    if found is None:
        return head, b"", None
    start, end = found.span()
    return head[:start], head[end:], int(found[1])


def has_bare_cr_or_lf(head: bytes) -> bool:
    """Return whether a head contains a CR or LF that is not part of a CR LF pair.

    :param head: the start line and headers.
    :returns: whether it does.
    """
    pairs = head.count(b"\r\n")
    return head.count(b"\n") != pairs or head.count(b"\r") != pairs


def has_invalid_content_length(head: bytes) -> bool:
    """Return whether a head has several length headers, or one that is not a plain number.

    h11 accepts repeated headers with equal values, but a peer that sends them is not trusted here.

    :param head: the start line and headers.
    :returns: whether it does.
    """
    values = CONTENT_LENGTH_FIELD.findall(head.lower())
    return len(values) > 1 or not all(value.strip().isdigit() for value in values)


def mentions_body_length(part: bytes) -> bool:
    """Return whether a part of a head may contain a header that defines the body's length.

    :param part: the part.
    :returns: whether the name of such a header occurs anywhere in it.
    """
    lower = part.lower()
    return any(name in lower for name in BODY_LENGTH_HEADERS)


def header_dict(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Decode headers; values of repeated headers are joined by commas.

    :param headers: names in lower case, and values.
    :returns: values by name.
    """
    joined: dict[str, str] = {}
    for raw_name, raw_value in headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined


def count_length_headers(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Count the different headers that define the body's length; more than one is an error.

    :param headers: names in lower case, and values.
    :returns: 0 to 2.
    """
    names = {name for name, _ in headers}
    return sum(name in names for name in BODY_LENGTH_HEADERS)
