"""Incremental parser for the requests of one connection."""

from http import HTTPStatus

import h11
from msgspec import Struct
from msgspec.structs import replace

from rhubarbhinge.web._errors import (
    body_too_large,
    header_too_large,
    limits_unknown,
    malformed,
    unsupported_coding,
)
from rhubarbhinge.web._heads import (
    HEAD_END,
    count_length_headers,
    has_bare_cr_or_lf,
    has_invalid_content_length,
)
from rhubarbhinge.web._limits import HttpLimits
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._request_head import (
    RequestHead,
    parse_cacheable_request_head,
    to_request_head,
)
from rhubarbhinge.web._response import Response

FIRST_REQUEST_ROUND_TRIPS = 2
"""Round trips that a client sees for its first request: the handshake's and the request's."""


class Refusal(Struct, frozen=True):
    """A request that is rejected by the parser.

    :param response: the response to send before closing the connection.
    """

    response: Response


class RequestParser:
    """Parses the requests of one connection, one at a time.

    :param limits: the server's limits at first.
    :param peer_ip: IP address of the client.
    :param round_trip_ms: round-trip time to the client.
    """

    def __init__(self, limits: HttpLimits, peer_ip: str, round_trip_ms: float = 0.0):
        self._limits = limits
        self._next_limits = limits
        self._peer_ip = peer_ip
        self._round_trip_ms = round_trip_ms
        self._round_trips = FIRST_REQUEST_ROUND_TRIPS
        self._buffer = b""
        self._reset()

    @property
    def started(self) -> bool:
        """Whether some bytes of a request have been received."""
        return bool(self._buffer) or self._head is not None

    @property
    def reading_body(self) -> bool:
        """Whether the headers are complete and the body is not."""
        return self._head is not None and not self._complete

    @property
    def held_bytes(self) -> int:
        """Memory that the current request takes, including what is still to come of its body."""
        return max(self._length, self._body_bytes) + len(self._buffer)

    @property
    def is_read_ahead_exceeded(self) -> bool:
        """Whether more has been received ahead of the response than one request of maximum size."""
        return len(self._buffer) > self._limits.header_bytes + self._limits.body_bytes

    @property
    def reusable(self) -> bool:
        """Whether the connection can take another request after the response."""
        return self._complete and self._head.reusable

    def set_limits(self, limits: HttpLimits) -> None:
        """Change the limits.

        Lower size limits apply from the next request on, as the client may have begun the current
        one under the earlier limits; higher ones apply at once.

        :param limits: the server's new limits.
        """
        self._next_limits = limits
        if self.started:
            limits = replace(
                limits,
                header_bytes=max(limits.header_bytes, self._limits.header_bytes),
                body_bytes=max(limits.body_bytes, self._limits.body_bytes),
            )
        self._limits = limits

    def feed(self, data: bytes) -> None:
        """Add bytes received on the connection.

        :param data: the bytes.
        """
        if self.reading_body:
            self._feed_body(data)
        else:
            self._buffer += data

    def next(self) -> Request | Refusal | None:
        """Parse the bytes received so far.

        :returns: a complete request, a refusal, or None if more bytes are needed or the previous
            request has not been finished.
        """
        if self._complete:
            return None
        if self._head is None:
            refusal = self._parse_head()
            if refusal is not None or self._head is None:
                return refusal
        return self._parse_body()

    def take_expect_continue(self) -> bool:
        """Return, once per request, whether the client expects ``100 Continue``.

        Such a client waits for this interim response before it sends the body.

        :returns: whether to send the interim response now.
        """
        awaits_continue, self._awaits_continue = self._awaits_continue, False
        return awaits_continue and self.reading_body and not self._body_bytes

    def finish(self) -> None:
        """Prepare for the next request."""
        self._round_trips = 1
        self._limits = self._next_limits
        self._reset()

    def _reset(self) -> None:
        self._head: RequestHead | None = None
        self._length = 0
        self._h11: h11.Connection | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._complete = False
        self._awaits_continue = False

    def _parse_head(self) -> Refusal | None:
        end = self._buffer.find(HEAD_END)
        seen_bytes = len(self._buffer) if end < 0 else end
        if seen_bytes > self._limits.header_bytes:
            return self._refuse_size(header_too_large(self._limits.header_bytes))
        if end < 0:
            return None
        end += len(HEAD_END)
        head, rest = self._buffer[:end], self._buffer[end:]
        self._buffer = b""
        cacheable = parse_cacheable_request_head(head)
        if cacheable is None:
            refusal = self._parse_head_with_h11(head)
            if refusal is not None:
                return refusal
        else:
            self._head, self._length = cacheable
        if self._length > self._limits.body_bytes:
            return self._refuse_size(body_too_large(self._limits.body_bytes))
        self._awaits_continue = self._head.awaits_continue
        self._feed_body(rest)
        return None

    def _parse_head_with_h11(self, head: bytes) -> Refusal | None:
        if has_bare_cr_or_lf(head) or has_invalid_content_length(head):
            return Refusal(malformed())
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes + len(HEAD_END)
        )
        try:
            self._h11.receive_data(head)
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            unsupported = error.error_status_hint == HTTPStatus.NOT_IMPLEMENTED
            return Refusal(unsupported_coding() if unsupported else malformed())
        if not isinstance(event, h11.Request) or count_length_headers(event.headers) > 1:
            return Refusal(malformed())
        awaits_continue = self._h11.they_are_waiting_for_100_continue
        self._head = to_request_head(event, awaits_continue=awaits_continue)
        if self._head is None:
            return Refusal(malformed())
        self._length = int(self._head.headers.get("content-length", "0"))
        return None

    def _feed_body(self, data: bytes) -> None:
        if not data:
            return
        if self._h11 is not None:
            self._h11.receive_data(data)
            return
        missing_bytes = self._length - self._body_bytes
        if len(data) > missing_bytes:
            self._buffer = data[missing_bytes:]
            data = data[:missing_bytes]
        self._body.append(data)
        self._body_bytes += len(data)

    def _parse_body(self) -> Request | Refusal | None:
        if self._h11 is not None:
            return self._parse_body_with_h11()
        if self._body_bytes < self._length:
            return None
        return self._build_request(self._head)

    def _parse_body_with_h11(self) -> Request | Refusal | None:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError:
                return Refusal(malformed())
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.EndOfMessage):
                return self._finish_h11_body()
            if not isinstance(event, h11.Data):
                return Refusal(malformed())
            self._body.append(bytes(event.data))
            self._body_bytes += len(event.data)
            if self._body_bytes > self._limits.body_bytes:
                return self._refuse_size(body_too_large(self._limits.body_bytes))

    def _refuse_size(self, response: Response) -> Refusal:
        return Refusal(limits_unknown() if self._limits.is_provisional else response)

    def _finish_h11_body(self) -> Request:
        self._buffer = self._h11.trailing_data[0]
        head = self._head
        reusable = self._h11.their_state is h11.DONE
        return self._build_request(replace(head, reusable=reusable, awaits_continue=False))

    def _build_request(self, head: RequestHead) -> Request:
        self._head = head
        self._complete = True
        body = b"".join(self._body)
        self._body = []
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
