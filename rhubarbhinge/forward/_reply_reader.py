"""Replies out of the bytes of one connection."""

import httptools
from msgspec import Struct
from msgspec.structs import replace

HEAD_BYTES = 64 * 1024
"""Most bytes of a reply's status line and headers; far above what searchers send."""
BODY_BYTES = 16 * 1024 * 1024
"""Most bytes of a reply's body; bounds what one faulty searcher can make this process keep."""
NO_BODY = (204, 304)
"""Status codes without a body whatever the headers say (RFC 9110, 6.4.1)."""


class ReplyError(Exception):
    """Bytes that are no reply.

    :ivar code: why, for programs.
    """

    def __init__(self, code: str):
        super().__init__(f"the searcher's bytes are no HTTP reply ({code}); close the connection")
        self.code = code


class RawReply(Struct, frozen=True):
    """A whole reply as it was read.

    :param status: the status code.
    :param headers: names in lower case, and values.
    :param body: the whole body.
    :param reusable: whether the connection may take another request.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reusable: bool


class ReplyReader:
    """Reads replies one after the other; the parsing is that of ``httptools``.

    A reply without a stated length ends with its connection: :meth:`finish` gives it.

    :ivar wants_body: whether replies have bodies; set before the reply to a ``HEAD`` request.
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
        "_in_message",
        "_head_done",
        "_until_close",
    )

    def __init__(self) -> None:
        self.wants_body = True
        self._parser = httptools.HttpResponseParser(self)
        self._replies: list[RawReply] = []
        self._begin()

    @property
    def begun(self) -> bool:
        """Whether any byte of the reply that is due has come."""
        return self._in_message or self._head_bytes > 0

    def feed(self, data: bytes) -> list[RawReply]:
        """Take in bytes of the connection.

        :param data: the bytes.
        :returns: the replies that are now whole; the connection may be used again only if the
            last one says so.
        :raises ReplyError: when the bytes are no reply.
        """
        if not self._head_done:
            self._head_bytes += len(data)
        fault = self._parse(data)
        replies, self._replies = self._replies, []
        if not replies and fault:
            raise ReplyError(fault)
        if replies and (fault or self._in_message):
            # A complete reply stands whatever follows it, but what follows was not asked for.
            replies[-1] = replace(replies[-1], reusable=False)
        if self._body_bytes > BODY_BYTES or (not self._head_done and self._head_bytes > HEAD_BYTES):
            raise ReplyError("too-large")
        return replies

    def finish(self) -> RawReply | None:
        """Take note of the clean end of the connection.

        :returns: the reply that ends with its connection, or None when none is whole.
        """
        return self._reply(False) if self._until_close else None

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

    def _reply(self, reusable: bool) -> RawReply:
        return RawReply(self._status, tuple(self._headers), b"".join(self._body), reusable)

    # Called by httptools.

    def on_message_begin(self) -> None:
        """Start a reply."""
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header.

        :param name: its name.
        :param value: its value.
        """
        if not self._head_done:
            # The parser leaves white space at the end, which no value has (RFC 9110, 5.5).
            self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Find out how the reply ends."""
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._head_done = True
        if not self.wants_body:
            # The parser can't be told and waits for a body, so the connection is not used again.
            self._replies.append(self._reply(False))
            return
        names = {name for name, _ in self._headers}
        stated = b"content-length" in names or b"transfer-encoding" in names
        self._until_close = not stated and self._status not in NO_BODY

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body.

        :param data: the piece.
        """
        self._body.append(data)
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Note the end of a reply; an interim one is dropped."""
        if self._head_done and self.wants_body:
            # Asked here, as the parser forgets it once the message is over.
            self._replies.append(self._reply(self._parser.should_keep_alive()))
        self._begin()
