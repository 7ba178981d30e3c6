"""Limits on requests and connections of callers."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Count, Milliseconds


class CallerLimits(Struct, frozen=True):
    """Limits on requests and connections of callers.

    :param header_bytes: greatest size of a request line with its headers.
    :param body_bytes: greatest size of a request body.
    :param header_timeout_ms: timeout for receiving the headers of a request.
    :param idle_timeout_ms: timeout of a connection between two requests.
    """

    header_bytes: Count = 16_384
    body_bytes: Count = 1_048_576
    header_timeout_ms: Milliseconds = 5_000.0
    idle_timeout_ms: Milliseconds = 60_000.0
