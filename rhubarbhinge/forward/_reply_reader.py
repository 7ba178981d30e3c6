"""Incremental parser for the HTTP replies on one connection."""

import httptools
from msgspec import Struct
from msgspec.structs import replace

from rhubarbhinge.web import is_overhead_exceeded

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the status line and headers; searchers send far less."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a reply's body; bounds the memory that one faulty searcher can consume."""
STATUSES_WITHOUT_BODY = (204, 304)
"""Status codes without a body regardless of the headers (RFC 9110, section 6.4.1)."""


class ReplyError(Exception):
    """The received bytes are not a valid HTTP reply.

    :ivar code: machine-readable reason.
    """

    def __init__(self, code: str):
        super().__init__(
            f"invalid HTTP reply from the searcher ({code}); the connection must be closed"
        )
        self.code = code


class RawReply(Struct, frozen=True):
    """A complete reply before decoding.

    :param status: HTTP status code.
    :param headers: pairs of lower-case name and value.
    :param body: complete body.
    :param reusable: whether another request may be sent on the connection.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reusable: bool


class ReplyReader:
    """Parses consecutive replies using ``httptools``.

    A reply without a stated length ends when the connection is closed; :meth:`finish` returns it.

    :ivar wants_body: whether replies have bodies; set to False before the reply to a ``HEAD``
        request.
    """

    __slots__ = (
        "wants_body",
        "_parser",
        "_replies",
        "_status",
        "_headers",
        "_body",
        "_body_bytes",
        "_head_bytes",
        "_received_bytes",
        "_in_message",
        "_head_done",
        "_until_close",
        "_is_too_large",
    )

    def __init__(self) -> None:
        self.wants_body = True
        self._parser = httptools.HttpResponseParser(self)
        self._replies: list[RawReply] = []
        self._received_bytes = 0
        self._begin()

    @property
    def begun(self) -> bool:
        """Whether any bytes of the expected reply have been received."""
        return self._in_message or self._head_bytes > 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes of an incomplete reply, to within the size of its headers."""
        # The read that completes the headers counts as headers, with what it has of the body.
        return max(self._head_bytes, self._body_bytes)

    def feed(self, data: bytes) -> list[RawReply]:
        """Parse received bytes.

        :param data: the bytes.
        :returns: the replies completed by them. The connection may be reused only if the last reply
            is reusable.
        :raises ReplyError: if the bytes are not a valid HTTP reply.
        """
        self._received_bytes += len(data)
        if not self._head_done:
            self._head_bytes += len(data)
        error_code = self._parse(data)
        replies, self._replies = self._replies, []
        if not replies and error_code:
            raise ReplyError(error_code)
        if replies and (error_code or self._in_message):
            # A complete reply stays valid, but the unsolicited bytes after it make the connection
            # unusable.
            replies[-1] = replace(replies[-1], reusable=False)
        head_is_too_large = not self._head_done and self._head_bytes > MAX_HEAD_BYTES
        if self._is_too_large or self._body_bytes > MAX_BODY_BYTES or head_is_too_large:
            raise ReplyError("too-large")
        if is_overhead_exceeded(self._received_bytes, self._body_bytes):
            raise ReplyError("too-much-overhead")
        return replies

    def finish(self) -> RawReply | None:
        """Handle an orderly close of the connection by the searcher.

        :returns: the reply that is delimited by the close, or None if no reply is complete.
        """
        return self._reply(False) if self._until_close else None

    def close(self) -> None:
        """Release what has been received of an incomplete reply; nothing may be fed afterwards.

        The parser refers to this object, so that its memory would otherwise be in use until the
        next garbage collection.
        """
        self._begin()
        self._parser = None

    def _parse(self, data: bytes) -> str:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return "upgrade"
        except httptools.HttpParserError:
            return "malformed"
        return ""

    def _begin(self) -> None:
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_message = False
        self._head_done = False
        self._until_close = False
        self._is_too_large = False

    def _reply(self, reusable: bool) -> RawReply:
        return RawReply(self._status, tuple(self._headers), b"".join(self._body), reusable)

    # Called by httptools.

    def on_message_begin(self) -> None:
        """Handle the start of a reply."""
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header.

        :param name: header name.
        :param value: header value.
        """
        if not self._head_done:
            # The parser keeps trailing whitespace, which is not part of the value (RFC 9110,
            # section 5.5).
            self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Determine how the reply is delimited."""
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._head_done = True
        if not self.wants_body:
            # httptools cannot be told that no body follows and would wait for one, so the
            # connection is not reused.
            self._replies.append(self._reply(False))
            return
        headers = dict(self._headers)
        is_delimited = b"content-length" in headers or b"transfer-encoding" in headers
        self._is_too_large = _exceeds_body_limit(headers.get(b"content-length", b""))
        self._until_close = not is_delimited and self._status not in STATUSES_WITHOUT_BODY

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body.

        :param data: the chunk.
        """
        self._body.append(data)
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Handle the end of a reply; interim (1xx) replies are dropped."""
        if self._head_done:
            # Interim replies are part of the expected one, so that their number is limited.
            self._received_bytes = 0
            if self.wants_body:
                # Must be queried here, as the parser resets the flag after the message.
                self._replies.append(self._reply(self._parser.should_keep_alive()))
        self._begin()


def _exceeds_body_limit(content_length: bytes) -> bool:
    """Check a length that the parser has accepted as valid."""
    digits = content_length.lstrip(b"0")
    if len(digits) > len(str(MAX_BODY_BYTES)):
        return True
    return digits.isdigit() and int(digits) > MAX_BODY_BYTES
