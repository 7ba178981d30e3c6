"""A request that a caller has made."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Request:
    """A request that a caller has made.

    :param method: the method, such as ``GET``.
    :param path: the path, percent-decoded, without the query.
    :param query: the query's parameters; of one given twice the last counts.
    :param headers: the headers, names in lower case.
    :param body: the whole body.
    :param peer_ip: the caller's IP address.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer_ip: str
