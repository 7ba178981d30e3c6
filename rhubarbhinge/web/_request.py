"""A request that a caller has made."""

from msgspec import Struct


class Request(Struct, frozen=True):
    """A request that a caller has made.

    :param method: the method, such as ``GET``.
    :param path: the path, percent-decoded, without the query.
    :param query: the query's parameters; of one given twice the last counts.
    :param headers: the headers, names in lower case.
    :param body: the whole body.
    :param peer_ip: the caller's IP address.
    :param target: path and query as they were sent.
    :param raw_headers: names and values as they were sent, without that of the body's length.
    :param transit_ms: what round trips add to the time that the caller sees: one for the request
        and its answer, and one more for the handshake before the first request of a connection.
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
