"""A response sent by the server."""

from msgspec import Struct

JSON_TYPE = "application/json"


class Response(Struct, frozen=True):
    """A response sent by the server.

    :param status: the status code.
    :param body: the complete body.
    :param headers: additional headers; length, type and connection are set automatically.
    :param content_type: media type of the body; empty if it is unknown or given in the headers.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE
