"""Reason why a read of the published state failed."""

from msgspec import Struct


class ReadFailure(Struct, frozen=True):
    """Reason why a read of the published state failed.

    :param code: the cause, for logs.
    :param history_lost: whether changes since the requested revision are no longer available, so
        that everything has to be listed again.
    :param overloaded: whether the platform asks for fewer calls.
    :param connection_lost: whether the connection broke while waiting for the response; the next
        read, on a new connection, may succeed at once.
    """

    code: str
    history_lost: bool = False
    overloaded: bool = False
    connection_lost: bool = False
