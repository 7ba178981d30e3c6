"""What the server grants its callers."""

from msgspec import Struct


class HttpLimits(Struct, frozen=True):
    """What the server grants its callers.

    :param header_bytes: most bytes of a request's line and headers.
    :param body_bytes: most bytes of a request's body.
    :param connections: most connections at a time.
    :param header_timeout_ms: longest that a request's headers may take, in milliseconds.
    :param body_timeout_ms: longest that a request's body may take, in milliseconds.
    :param idle_timeout_ms: longest that a connection is kept between requests, in milliseconds.
    :param gzip_least_bytes: body size from which answers are compressed for callers who accept it.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    connections: int = 1000
    header_timeout_ms: float = 5_000.0
    body_timeout_ms: float = 20_000.0
    idle_timeout_ms: float = 60_000.0
    gzip_least_bytes: int = 1024
