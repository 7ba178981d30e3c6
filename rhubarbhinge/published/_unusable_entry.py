"""A store entry that cannot be used."""

from msgspec import Struct


class UnusableEntry(Struct, frozen=True):
    """A store entry that cannot be used.

    :param key: key under which it is published.
    :param cause: what is wrong with it, without details that differ from key to key.
    :param incarnation: the searcher that it should describe; empty if it should describe something
        else.
    """

    key: str
    cause: str
    incarnation: str = ""
