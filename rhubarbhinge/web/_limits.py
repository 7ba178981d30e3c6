"""Limits of the HTTP server."""

from msgspec import Struct


class HttpLimits(Struct, frozen=True):
    """Limits of the HTTP server.

    :param header_bytes: maximum size of a request line and headers.
    :param body_bytes: maximum size of a request body.
    :param connections: maximum number of concurrent connections.
    :param header_timeout_ms: timeout for receiving a request's headers, in milliseconds.
    :param body_timeout_ms: timeout for receiving a request's body, in milliseconds.
    :param idle_timeout_ms: timeout of a connection between requests, in milliseconds.
    :param gzip_min_bytes: minimum size of a body that is compressed for clients that accept it.
    :param is_provisional: whether the size limits stand in for others that are not known yet; what
        exceeds them may be sent again.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    connections: int = 1000
    header_timeout_ms: float = 5_000.0
    body_timeout_ms: float = 20_000.0
    idle_timeout_ms: float = 60_000.0
    gzip_min_bytes: int = 1024
    is_provisional: bool = False
