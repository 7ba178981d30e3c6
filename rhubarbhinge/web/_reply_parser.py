"""A reply out of the bytes of one connection."""

from enum import Enum, auto

import h11

from rhubarbhinge.web._heads import (
    HEAD_END,
    WITHOUT_BODY,
    has_bare_line_end,
    has_odd_length,
    header_dict,
    stated_lengths,
)
from rhubarbhinge.web._reply import Reply
from rhubarbhinge.web._reply_head import (
    REPLY_HEAD_BYTES,
    ReplyHead,
    read_plain_reply_head,
    reply_reader,
)

REPLY_BODY_BYTES = 32 * 1024 * 1024
"""Most bytes of a reply's body."""


class ReplyFault(Enum):
    """Why the bytes of a connection are not the reply to its request."""

    MALFORMED = auto()
    """They are no reply, or one above the limits, or one without a stated end."""


class ReplyParser:
    """State of reading the reply to one request.

    :param method: the request's method.
    """

    __slots__ = (
        "reusable",
        "unasked",
        "_method",
        "_start",
        "_head",
        "_body_bytes",
        "_parts",
        "_read_bytes",
        "_full",
    )

    def __init__(self, method: str):
        self.reusable = False
        self.unasked = False
        self._method = method
        self._start = b""
        self._head: ReplyHead | None = None
        self._body_bytes = 0
        self._parts: list[bytes] = []
        self._read_bytes = 0
        self._full: _FullParser | None = None

    def feed(self, data: bytes) -> Reply | ReplyFault | None:
        """Take in bytes of the connection.

        :param data: the bytes.
        :returns: the reply, why there will be none, or None while more bytes are needed.
        """
        if self._full is not None:
            return self._read_full(data)
        if self._head is None:
            return self._read_head(self._start + data)
        return self._read_body(data)

    def _read_head(self, data: bytes) -> Reply | ReplyFault | None:
        end = data.find(HEAD_END)
        if end < 0:
            self._start = data
            return ReplyFault.MALFORMED if len(data) > REPLY_HEAD_BYTES else None
        end += len(HEAD_END)
        plain = read_plain_reply_head(data[:end]) if self._method != "HEAD" else None
        if plain is None:
            if has_bare_line_end(data[:end]) or has_odd_length(data[:end]):
                return ReplyFault.MALFORMED
            self._full = _FullParser(self._method)
            return self._read_full(data)
        self._head, self._body_bytes = plain
        if self._body_bytes > REPLY_BODY_BYTES:
            return ReplyFault.MALFORMED
        return self._read_body(data[end:])

    def _read_body(self, data: bytes) -> Reply | None:
        self._parts.append(data)
        self._read_bytes += len(data)
        if self._read_bytes < self._body_bytes:
            return None
        head = self._head
        self.reusable = head.reusable
        self.unasked = self._read_bytes > self._body_bytes
        body = b"".join(self._parts)[: self._body_bytes]
        headers = {**head.headers, "content-length": str(self._body_bytes)}
        return Reply(head.status, headers, body)

    def _read_full(self, data: bytes) -> Reply | ReplyFault | None:
        outcome = self._full.feed(data)
        self.reusable = self._full.reusable
        self.unasked = self._full.unasked
        return outcome


class _FullParser:
    """State of reading a reply of any form by h11.

    :param method: the request's method.
    """

    def __init__(self, method: str):
        self._method = method
        self.reusable = False
        self.unasked = False
        self._h11 = reply_reader(method)
        self._response: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0

    def feed(self, data: bytes) -> Reply | ReplyFault | None:
        """Take in bytes of the connection.

        :param data: the bytes.
        :returns: the reply, why there will be none, or None while more bytes are needed.
        """
        try:
            self._h11.receive_data(data)
            return self._read()
        except h11.RemoteProtocolError:
            return ReplyFault.MALFORMED

    def _read(self) -> Reply | ReplyFault | None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                return None
            if event is h11.PAUSED:
                return ReplyFault.MALFORMED
            if isinstance(event, h11.Response):
                self._response = event
                if not _has_stated_end(event, self._method):
                    return ReplyFault.MALFORMED
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > REPLY_BODY_BYTES:
                    return ReplyFault.MALFORMED
            elif isinstance(event, h11.EndOfMessage):
                return self._reply()

    def _reply(self) -> Reply:
        self.reusable = self._h11.their_state is h11.DONE
        self.unasked = bool(self._h11.trailing_data[0])
        response = self._response
        return Reply(response.status_code, header_dict(response.headers), b"".join(self._body))


def _has_stated_end(response: h11.Response, method: str) -> bool:
    stated = stated_lengths(response.headers)
    if stated == 0:
        return method == "HEAD" or response.status_code in WITHOUT_BODY
    return stated == 1
