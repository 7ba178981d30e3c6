"""A call to the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Watch:
    """A call that asks for a document, at once or as soon as a newer one is there.

    :param exchange: The call's number.
    :param reader: Who calls.
    :param key: The key asked for.
    :param after: A revision the reader has, to wait for a higher one; None to get at once.
    :param until_ms: How long to wait for it.
    """

    exchange: int
    reader: str
    key: str
    after: int | None
    until_ms: float
