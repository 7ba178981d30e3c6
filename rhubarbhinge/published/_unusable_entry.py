"""Something published that can't be used."""

from msgspec import Struct


class UnusableEntry(Struct, frozen=True):
    """Something published that can't be used.

    :param key: where it is published.
    :param cause: what is wrong with it, without what differs from entry to entry.
    :param incarnation: the searcher that it would describe; empty when it would be something else.
    """

    key: str
    cause: str
    incarnation: str = ""
