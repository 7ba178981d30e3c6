"""A request."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Request:
    """One request with its whole body.

    :param method: The method in capitals.
    :param path: The path without its query.
    :param query: The query's fields; of a repeated one, the last.
    :param headers: The headers, names in lower case.
    :param body: The body.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
