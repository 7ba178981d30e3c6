"""An upstream's answer to a request of ours."""

from msgspec import Struct


class Reply(Struct, frozen=True):
    """An upstream's answer to a request of ours.

    :param status: the status code.
    :param headers: the headers, names in lower case.
    :param body: the whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
