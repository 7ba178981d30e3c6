"""Why a read brought nothing."""

from msgspec import Struct


class ReadFault(Struct, frozen=True):
    """Why a read brought nothing.

    :param code: the cause, for logs.
    :param history_lost: whether changes are no longer told from the revision that was asked for,
        so that all has to be listed again.
    :param overloaded: whether the platform asks for fewer calls.
    :param cut: whether the connection broke on which the answer was awaited; the next read, on a
        new one, may succeed at once.
    """

    code: str
    history_lost: bool = False
    overloaded: bool = False
    cut: bool = False
