"""Limits on what callers may send."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Count, Milliseconds


class CallerLimits(Struct, frozen=True):
    """Limits on what callers may send, and on how long they may take.

    :param header_bytes: most bytes of a request's line and headers.
    :param body_bytes: most bytes of a request's body.
    :param header_timeout_ms: longest that a request's headers may take.
    :param idle_timeout_ms: longest that a connection is kept between two requests.
    """

    header_bytes: Count = 16_384
    body_bytes: Count = 1_048_576
    header_timeout_ms: Milliseconds = 5_000.0
    idle_timeout_ms: Milliseconds = 60_000.0
