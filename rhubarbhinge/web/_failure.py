"""The outcome of a call that got no reply."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Failure:
    """The outcome of a call that got no reply.

    :param code: why, such as ``timeout`` or ``refused``.
    :param sent: whether any byte of the request may have left.
    """

    code: str
    sent: bool
