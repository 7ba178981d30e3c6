"""Requests out of the bytes of one connection, by h11."""

from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from rhubarbhinge.web._errors import body_too_large, header_too_large, malformed
from rhubarbhinge.web._limits import HttpLimits
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._response import Response

HEAD_END = b"\r\n\r\n"
LENGTH_FIELD = b"\ncontent-length:"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a connection's bytes are not a request that the server takes.

    :param response: the answer to send before closing.
    """

    response: Response


class RequestParser:
    """State of reading requests from one connection.

    :param limits: what is granted.
    :param peer_ip: the caller's IP address.
    """

    def __init__(self, limits: HttpLimits, peer_ip: str):
        self._limits = limits
        self._peer_ip = peer_ip
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._head = b""
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._whole = False

    @property
    def started(self) -> bool:
        """Whether some bytes of an unfinished request have come."""
        return bool(self._head) or self._request is not None

    @property
    def reading_body(self) -> bool:
        """Whether the headers are complete and the body is not."""
        return self._request is not None and not self._whole

    def feed(self, data: bytes) -> None:
        """Take in bytes of the connection.

        :param data: the bytes.
        """
        if self._request is None:
            self._head += data
        else:
            self._h11.receive_data(data)

    def next(self) -> Request | Refusal | None:
        """Read on.

        :returns: a whole request, a refusal, or None while more bytes are needed or the request
            read last has not been answered.
        """
        if self._whole:
            return None
        try:
            return self._read()
        except h11.RemoteProtocolError:
            return Refusal(malformed())

    def wants_continue(self) -> bytes:
        """Make the interim answer of a caller that waits with its body.

        :returns: the bytes to send, empty when the caller does not wait.
        """
        if not self.reading_body or not self._h11.they_are_waiting_for_100_continue:
            return b""
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[]))

    def answer(self, response: h11.Response, body: bytes) -> tuple[bytes, bool]:
        """Write the answer to the request read last.

        :param response: status and headers.
        :param body: the whole body.
        :returns: the bytes to send, and whether the connection can take another request.
        """
        sent = self._h11.send(response)
        sent += self._h11.send(h11.Data(body)) + self._h11.send(h11.EndOfMessage())
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return sent, False
        self._head = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.header_bytes)
        self._request = None
        self._body = []
        self._body_bytes = 0
        self._whole = False
        return sent, True

    def _read(self) -> Request | Refusal | None:
        if self._request is None:
            refusal = self._read_head()
            if refusal is not None or self._request is None:
                return refusal
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > self._limits.body_bytes:
                    return Refusal(body_too_large(self._limits.body_bytes))
            elif isinstance(event, h11.EndOfMessage):
                self._whole = True
                return _request(self._request, b"".join(self._body), self._peer_ip)
            else:
                return Refusal(malformed())

    def _read_head(self) -> Refusal | None:
        end = self._head.find(HEAD_END)
        if end > self._limits.header_bytes or (
            end < 0 and len(self._head) > self._limits.header_bytes
        ):
            return Refusal(header_too_large(self._limits.header_bytes))
        if end < 0:
            return None
        head, rest = self._head[: end + len(HEAD_END)], self._head[end + len(HEAD_END) :]
        self._head = b""
        if head.lower().count(LENGTH_FIELD) > 1:
            return Refusal(malformed())
        self._h11.receive_data(head)
        event = self._h11.next_event()
        if not isinstance(event, h11.Request):
            return Refusal(malformed())
        self._request = event
        if _length(event) > self._limits.body_bytes:
            return Refusal(body_too_large(self._limits.body_bytes))
        if rest:
            self._h11.receive_data(rest)
        return None


def _length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _request(event: h11.Request, body: bytes, peer_ip: str) -> Request | Refusal:
    try:
        parts = urlsplit(event.target.decode("ascii"))
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
        path = unquote(parts.path, errors="strict")
    except ValueError:
        return Refusal(malformed())
    return Request(event.method.decode("ascii"), path, query, headers, body, peer_ip)
