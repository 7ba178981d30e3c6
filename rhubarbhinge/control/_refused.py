"""Effect or outcome: a revision was refused."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refused:
    """A document that did not pass validation or clashes with the accepted one.

    :param key: the document's key.
    :param revision: the revision that was refused.
    :param faults: why, one sentence each.
    """

    key: str
    revision: int
    faults: tuple[str, ...]
