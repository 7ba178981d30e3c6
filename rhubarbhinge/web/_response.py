"""An answer to a caller's request."""

from msgspec import Struct

JSON_TYPE = "application/json"


class Response(Struct, frozen=True):
    """An answer to a caller's request.

    :param status: the status code.
    :param body: the whole body.
    :param headers: more headers, besides those of length, type and connection.
    :param content_type: the body's media type; empty when it is among the headers, or not known.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE
