"""Replies out of the bytes of one connection."""

from dataclasses import dataclass

import httptools

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


@dataclass(frozen=True, slots=True)
class RawReply:
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
        "_parser",
        "_headers",
        "_body",
        "_body_bytes",
        "_head_bytes",
        "_until_close",
        "_head_done",
        "_done",
        "_excess",
        "_status",
        "_keeps_alive",
        "wants_body",
    )

    def __init__(self) -> None:
        self.wants_body = True
        self._reset()

    def feed(self, data: bytes) -> RawReply | None:
        """Take in bytes of the connection.

        :param data: the bytes.
        :returns: a whole reply, or None while more bytes are needed.
        :raises ReplyError: when the bytes are no reply.
        """
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise ReplyError("upgrade") from error
        except httptools.HttpParserError as error:
            # A complete reply stands, whatever follows it; the connection is not used again.
            if not self._done:
                raise ReplyError("malformed") from error
            self._excess = True
        if self._done:
            return self._take()
        if self._body_bytes > BODY_BYTES or (not self._head_done and self._head_bytes > HEAD_BYTES):
            raise ReplyError("too-large")
        return None

    def finish(self) -> RawReply | None:
        """Take note of the clean end of the connection.

        :returns: the reply that ends with its connection, or None when none is whole.
        """
        if not self._until_close or not self._head_done or self._done:
            return None
        return self._take()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._until_close = False
        self._head_done = False
        self._done = False
        self._excess = False
        self._status = 0
        self._keeps_alive = False

    def _take(self) -> RawReply:
        reusable = self._keeps_alive and not self._excess
        reply = RawReply(self._status, tuple(self._headers), b"".join(self._body), reusable)
        self._reset()
        return reply

    # Called by httptools.

    def on_message_begin(self) -> None:
        """Note that bytes follow a complete reply."""
        if self._done:
            self._excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header.

        :param name: its name.
        :param value: its value.
        """
        if not self._done:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the reply ends."""
        if self._done:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._head_done = True
        self._status = status
        names = {name for name, _ in self._headers}
        stated = b"content-length" in names or b"transfer-encoding" in names
        self._until_close = not stated and status not in NO_BODY
        if not self.wants_body:
            # The parser can't be told; the connection is closed, as it would wait for a body.
            self._until_close = False
            self._done = True

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body.

        :param data: the piece.
        """
        if not self._done:
            self._body.append(data)
            self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Note the end of a reply; an interim one is dropped."""
        if self._done:
            return
        if self._head_done:
            self._done = True
            # The parser forgets this once the message is over.
            self._keeps_alive = self._parser.should_keep_alive()
        else:
            self._headers.clear()
