"""The outcome of a call that got no reply."""

from msgspec import Struct


class Failure(Struct, frozen=True):
    """The outcome of a call that got no reply.

    :param code: why, such as ``timeout`` or ``refused``.
    :param sent: whether any byte of the request may have left.
    """

    code: str
    sent: bool
