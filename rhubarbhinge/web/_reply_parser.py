"""A reply out of the bytes of one connection, by h11."""

import h11

from rhubarbhinge.web._reply import Reply

REPLY_HEADER_BYTES = 64 * 1024
"""Most bytes of a reply's status line and headers."""

REPLY_BODY_BYTES = 32 * 1024 * 1024
"""Most bytes of a reply's body."""


class MalformedReply:
    """The connection's bytes are no reply, or one above the limits."""


class ReplyParser:
    """State of reading the reply to one request.

    :param method: the request's method.
    """

    __slots__ = ("reusable", "unasked", "_h11", "_response", "_body", "_body_bytes")

    def __init__(self, method: str):
        self.reusable = False
        self.unasked = False
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=REPLY_HEADER_BYTES)
        self._h11.send(h11.Request(method=method, target="/", headers=[("Host", "")]))
        self._h11.send(h11.EndOfMessage())
        self._response: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0

    def feed(self, data: bytes) -> Reply | MalformedReply | None:
        """Take in bytes of the connection.

        :param data: the bytes, empty at the peer's close.
        :returns: the reply, or None while more bytes are needed.
        """
        try:
            self._h11.receive_data(data)
            return self._read()
        except h11.RemoteProtocolError:
            return MalformedReply()

    def _read(self) -> Reply | MalformedReply | None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Response):
                self._response = event
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > REPLY_BODY_BYTES:
                    return MalformedReply()
            elif isinstance(event, h11.EndOfMessage):
                return self._reply()

    def _reply(self) -> Reply:
        self.reusable = self._h11.their_state is h11.DONE
        self.unasked = bool(self._h11.trailing_data[0])
        headers = {
            name.decode("ascii"): value.decode("latin-1") for name, value in self._response.headers
        }
        return Reply(self._response.status_code, headers, b"".join(self._body))
