"""An upstream's reply to a request of this process."""

from msgspec import Struct


class Reply(Struct, frozen=True):
    """An upstream's reply to a request of this process.

    :param status: the status code.
    :param headers: the headers, names in lower case.
    :param body: the complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
