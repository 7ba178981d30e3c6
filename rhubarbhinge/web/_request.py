"""A request received by the server."""

from msgspec import Struct


class Request(Struct, frozen=True):
    """A request received by the server.

    :param method: the method, such as ``GET``.
    :param path: the path, percent-decoded, without the query.
    :param query: the query parameters; the last value of a repeated parameter is used.
    :param headers: the headers, names in lower case.
    :param body: the complete body.
    :param peer_ip: IP address of the client.
    :param target: the path and query as sent.
    :param raw_headers: names and values as sent, except for the body's length.
    :param transit_ms: network time included in the latency that the client sees: one round trip for
        the request and its response, and another one for the handshake before the first request of
        a connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer_ip: str
    target: str = ""
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()
    transit_ms: float = 0.0
