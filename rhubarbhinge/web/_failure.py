"""The outcome of a call without a reply."""

from msgspec import Struct


class Failure(Struct, frozen=True):
    """The outcome of a call without a reply.

    :param code: the reason, such as ``timeout`` or ``refused``.
    :param sent: whether any part of the request may have been sent.
    """

    code: str
    sent: bool
