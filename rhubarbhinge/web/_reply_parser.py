"""Incremental parser for one reply."""

from enum import Enum, auto

import h11

from rhubarbhinge.web._heads import (
    BODILESS_STATUSES,
    HEAD_END,
    count_length_headers,
    has_bare_cr_or_lf,
    has_invalid_content_length,
    header_dict,
)
from rhubarbhinge.web._reply import Reply
from rhubarbhinge.web._reply_head import (
    MAX_REPLY_HEAD_BYTES,
    ReplyHead,
    h11_client_connection,
    parse_cacheable_reply_head,
)
from rhubarbhinge.web._reply_overhead import is_overhead_exceeded

MAX_REPLY_BODY_BYTES = 32 * 1024 * 1024
"""Maximum size of a reply's body."""


class ReplyFault(Enum):
    """Why received data is not an acceptable reply."""

    MALFORMED = auto()
    """Not a valid reply, or above the size limits, or without a defined body length."""


class ReplyParser:
    """Parses the reply to one request.

    :param method: the request method.
    """

    __slots__ = (
        "reusable",
        "unsolicited",
        "_method",
        "_head_buffer",
        "_head",
        "_body_bytes",
        "_body_parts",
        "_received_bytes",
        "_h11_parser",
    )

    def __init__(self, method: str):
        self.reusable = False
        self.unsolicited = False
        self._method = method
        self._head_buffer = b""
        self._head: ReplyHead | None = None
        self._body_bytes = 0
        self._body_parts: list[bytes] = []
        self._received_bytes = 0
        self._h11_parser: _H11ReplyParser | None = None

    def feed(self, data: bytes) -> Reply | ReplyFault | None:
        """Add bytes received on the connection.

        :param data: the bytes.
        :returns: the reply, the fault found in it, or None if more bytes are needed.
        """
        if self._h11_parser is not None:
            return self._feed_h11(data)
        if self._head is None:
            return self._read_head(self._head_buffer + data)
        return self._read_body(data)

    def _read_head(self, data: bytes) -> Reply | ReplyFault | None:
        end = data.find(HEAD_END)
        if end < 0:
            self._head_buffer = data
            return ReplyFault.MALFORMED if len(data) > MAX_REPLY_HEAD_BYTES else None
        end += len(HEAD_END)
        cacheable = parse_cacheable_reply_head(data[:end]) if self._method != "HEAD" else None
        if cacheable is None:
            if has_bare_cr_or_lf(data[:end]) or has_invalid_content_length(data[:end]):
                return ReplyFault.MALFORMED
            self._h11_parser = _H11ReplyParser(self._method)
            return self._feed_h11(data)
        self._head, self._body_bytes = cacheable
        if self._body_bytes > MAX_REPLY_BODY_BYTES:
            return ReplyFault.MALFORMED
        return self._read_body(data[end:])

    def _read_body(self, data: bytes) -> Reply | None:
        self._body_parts.append(data)
        self._received_bytes += len(data)
        if self._received_bytes < self._body_bytes:
            return None
        head = self._head
        self.reusable = head.reusable
        self.unsolicited = self._received_bytes > self._body_bytes
        body = b"".join(self._body_parts)[: self._body_bytes]
        headers = {**head.headers, "content-length": str(self._body_bytes)}
        return Reply(head.status, headers, body)

    def _feed_h11(self, data: bytes) -> Reply | ReplyFault | None:
        outcome = self._h11_parser.feed(data)
        self.reusable = self._h11_parser.reusable
        self.unsolicited = self._h11_parser.unsolicited
        return outcome


class _H11ReplyParser:
    """Parses any reply with h11, without the cache.

    :param method: the request method.
    """

    def __init__(self, method: str):
        self._method = method
        self.reusable = False
        self.unsolicited = False
        self._h11 = h11_client_connection(method)
        self._response: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._received_bytes = 0

    def feed(self, data: bytes) -> Reply | ReplyFault | None:
        """Add bytes received on the connection.

        :param data: the bytes.
        :returns: the reply, the fault found in it, or None if more bytes are needed.
        """
        self._received_bytes += len(data)
        try:
            self._h11.receive_data(data)
            outcome = self._read()
        except h11.RemoteProtocolError:
            return ReplyFault.MALFORMED
        if outcome is None and is_overhead_exceeded(self._received_bytes, self._body_bytes):
            return ReplyFault.MALFORMED
        return outcome

    def _read(self) -> Reply | ReplyFault | None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                return None
            if event is h11.PAUSED:
                return ReplyFault.MALFORMED
            if isinstance(event, h11.Response):
                self._response = event
                if not _has_defined_length(event, self._method):
                    return ReplyFault.MALFORMED
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > MAX_REPLY_BODY_BYTES:
                    return ReplyFault.MALFORMED
            elif isinstance(event, h11.EndOfMessage):
                return self._reply()

    def _reply(self) -> Reply:
        self.reusable = self._h11.their_state is h11.DONE
        self.unsolicited = bool(self._h11.trailing_data[0])
        response = self._response
        return Reply(response.status_code, header_dict(response.headers), b"".join(self._body))


def _has_defined_length(response: h11.Response, method: str) -> bool:
    length_headers = count_length_headers(response.headers)
    if length_headers == 0:
        return method == "HEAD" or response.status_code in BODILESS_STATUSES
    return length_headers == 1
