"""What the heads of requests and replies have in common.

A full parse of a head takes most of the time of a call. Peers send a handful of heads that differ
only in the value of ``Content-Length``, so h11's verdict is kept for the form of a head: the head
with that value cut out. Heads that state their length otherwise are left to a full parse.
"""

import re
from collections.abc import Iterable

HEAD_END = b"\r\n\r\n"
"""End of a head; a bare line feed is not taken for a line's end."""

FORMS_KEPT = 1024
"""Forms kept of each kind; a ``Date`` header makes a new one each second."""

FORM_BYTES = 2048
"""Longest form kept, which bounds the memory that peers can fill."""

LENGTH_VALUE = re.compile(rb"(?<=\r\n)[Cc]ontent-[Ll]ength: (0|[1-9][0-9]{0,8})(?=\r\n)")
"""The one way of stating a length whose form is kept; up to nine digits."""

LENGTH_FIELD = re.compile(rb"\n *content-length *:([^\r\n]*)")
LENGTH_NAMES = (b"content-length", b"transfer-encoding")

WITHOUT_BODY = (204, 304)
"""Status codes of replies that have no body whatever their headers say (RFC 9110, 6.4.1)."""


def split_form(head: bytes) -> tuple[bytes, bytes, int | None] | None:
    """Cut the length out of a head.

    :param head: first line and headers with their closing empty line.
    :returns: the head before and after the length's header and the length in bytes, which is None
        for a head that says nothing about it; or None for a head that needs a full parse.
    """
    if len(head) > FORM_BYTES:
        return None
    found = LENGTH_VALUE.search(head)
    if found is None:
        return head, b"", None
    start, end = found.span()
    return head[:start], head[end:], int(found[1])


def has_bare_line_end(head: bytes) -> bool:
    """Tell whether a head has a line that ends otherwise than by CR LF.

    :param head: first line and headers.
    :returns: whether a CR or LF stands alone.
    """
    pairs = head.count(b"\r\n")
    return head.count(b"\n") != pairs or head.count(b"\r") != pairs


def has_odd_length(head: bytes) -> bool:
    """Tell whether a head states a length twice, or not as one plain number.

    h11 takes a length that is given twice alike; a peer that does so is not trusted here.

    :param head: first line and headers.
    :returns: whether it does.
    """
    values = LENGTH_FIELD.findall(head.lower())
    return len(values) > 1 or not all(value.strip().isdigit() for value in values)


def mentions_length(part: bytes) -> bool:
    """Tell whether a part of a head may say more about the length.

    :param part: the part.
    :returns: whether the name of a header about it occurs anywhere.
    """
    lower = part.lower()
    return any(name in lower for name in LENGTH_NAMES)


def header_dict(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Turn headers into text; values of a name given twice are joined by commas.

    :param headers: names in lower case, and values.
    :returns: values by name.
    """
    joined: dict[str, str] = {}
    for raw_name, raw_value in headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined


def stated_lengths(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Count the ways in which headers state the body's length; more than one is a fault.

    :param headers: names in lower case, and values.
    :returns: 0 to 2.
    """
    names = {name for name, _ in headers}
    return sum(name in names for name in LENGTH_NAMES)
