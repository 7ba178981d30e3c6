"""Requests out of the bytes of one connection."""

from http import HTTPStatus

import h11
from msgspec import Struct
from msgspec.structs import replace

from rhubarbhinge.web._errors import body_too_large, header_too_large, malformed, unsupported_coding
from rhubarbhinge.web._heads import HEAD_END, has_bare_line_end, has_odd_length, stated_lengths
from rhubarbhinge.web._limits import HttpLimits
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._request_reading import RequestHead, read_plain_request_head, request_head
from rhubarbhinge.web._response import Response

HANDSHAKE_ROUND_TRIPS = 2
"""Round trips that a caller sees for a connection's first request: the handshake's and its own."""


class Refusal(Struct, frozen=True):
    """Why a connection's bytes are not a request that the server takes.

    :param response: the answer to send before closing.
    """

    response: Response


class RequestParser:
    """State of reading requests from one connection, one at a time.

    :param limits: what is granted.
    :param peer_ip: the caller's IP address.
    :param round_trip_ms: the time of a round trip to the caller.
    """

    def __init__(self, limits: HttpLimits, peer_ip: str, round_trip_ms: float = 0.0):
        self._limits = limits
        self._peer_ip = peer_ip
        self._round_trip_ms = round_trip_ms
        self._round_trips = HANDSHAKE_ROUND_TRIPS
        self._unread = b""
        self._reset()

    @property
    def started(self) -> bool:
        """Whether some bytes of a request have come."""
        return bool(self._unread) or self._head is not None

    @property
    def reading_body(self) -> bool:
        """Whether the headers are complete and the body is not."""
        return self._head is not None and not self._whole

    @property
    def overrun(self) -> bool:
        """Whether more has come ahead of the answer than one more request may have."""
        return len(self._unread) > self._limits.header_bytes + self._limits.body_bytes

    @property
    def reusable(self) -> bool:
        """Whether the connection can take another request after the answer."""
        return self._whole and self._head.reusable

    def feed(self, data: bytes) -> None:
        """Take in bytes of the connection.

        :param data: the bytes.
        """
        if self.reading_body:
            self._feed_body(data)
        else:
            self._unread += data

    def next(self) -> Request | Refusal | None:
        """Read on.

        :returns: a whole request, a refusal, or None while more bytes are needed or the request
            read last has not been finished.
        """
        if self._whole:
            return None
        if self._head is None:
            refusal = self._read_head()
            if refusal is not None or self._head is None:
                return refusal
        return self._read_body()

    def take_continue(self) -> bool:
        """Tell once whether the caller waits for an interim answer before its body.

        :returns: whether to send it now.
        """
        waits, self._awaits_continue = self._awaits_continue, False
        return waits and self.reading_body and not self._body_bytes

    def finish(self) -> None:
        """Go on to the next request."""
        self._round_trips = 1
        self._reset()

    def _reset(self) -> None:
        self._head: RequestHead | None = None
        self._length = 0
        self._full: h11.Connection | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._whole = False
        self._awaits_continue = False

    def _read_head(self) -> Refusal | None:
        end = self._unread.find(HEAD_END)
        seen_bytes = len(self._unread) if end < 0 else end
        if seen_bytes > self._limits.header_bytes:
            return Refusal(header_too_large(self._limits.header_bytes))
        if end < 0:
            return None
        end += len(HEAD_END)
        head, rest = self._unread[:end], self._unread[end:]
        self._unread = b""
        plain = read_plain_request_head(head)
        if plain is None:
            refusal = self._read_full_head(head)
            if refusal is not None:
                return refusal
        else:
            self._head, self._length = plain
        if self._length > self._limits.body_bytes:
            return Refusal(body_too_large(self._limits.body_bytes))
        self._awaits_continue = self._head.awaits_continue
        self._feed_body(rest)
        return None

    def _read_full_head(self, head: bytes) -> Refusal | None:
        if has_bare_line_end(head) or has_odd_length(head):
            return Refusal(malformed())
        self._full = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes + len(HEAD_END)
        )
        try:
            self._full.receive_data(head)
            event = self._full.next_event()
        except h11.RemoteProtocolError as error:
            odd_coding = error.error_status_hint == HTTPStatus.NOT_IMPLEMENTED
            return Refusal(unsupported_coding() if odd_coding else malformed())
        if not isinstance(event, h11.Request) or stated_lengths(event.headers) > 1:
            return Refusal(malformed())
        waits = self._full.they_are_waiting_for_100_continue
        self._head = request_head(event, awaits_continue=waits)
        if self._head is None:
            return Refusal(malformed())
        self._length = int(self._head.headers.get("content-length", "0"))
        return None

    def _feed_body(self, data: bytes) -> None:
        if not data:
            return
        if self._full is not None:
            self._full.receive_data(data)
            return
        wanted_bytes = self._length - self._body_bytes
        if len(data) > wanted_bytes:
            self._unread = data[wanted_bytes:]
            data = data[:wanted_bytes]
        self._body.append(data)
        self._body_bytes += len(data)

    def _read_body(self) -> Request | Refusal | None:
        if self._full is not None:
            return self._read_full_body()
        if self._body_bytes < self._length:
            return None
        return self._request(self._head)

    def _read_full_body(self) -> Request | Refusal | None:
        while True:
            try:
                event = self._full.next_event()
            except h11.RemoteProtocolError:
                return Refusal(malformed())
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.EndOfMessage):
                return self._finish_full()
            if not isinstance(event, h11.Data):
                return Refusal(malformed())
            self._body.append(bytes(event.data))
            self._body_bytes += len(event.data)
            if self._body_bytes > self._limits.body_bytes:
                return Refusal(body_too_large(self._limits.body_bytes))

    def _finish_full(self) -> Request:
        self._unread = self._full.trailing_data[0]
        head = self._head
        reusable = self._full.their_state is h11.DONE
        return self._request(replace(head, reusable=reusable, awaits_continue=False))

    def _request(self, head: RequestHead) -> Request:
        self._head = head
        self._whole = True
        body = b"".join(self._body)
        headers = dict(head.headers)
        if self._length:
            headers["content-length"] = str(self._length)
        return Request(
            head.method,
            head.path,
            dict(head.query),
            headers,
            body,
            self._peer_ip,
            head.target,
            head.raw_headers,
            self._round_trips * self._round_trip_ms,
        )
