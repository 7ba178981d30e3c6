"""Effect: a document is in force on this node."""

from dataclasses import dataclass

from rhubarbhinge.control._document import Document


@dataclass(frozen=True, slots=True)
class Adopted:
    """Put the document to use.

    :param document: what was accepted.
    :param faults: what is odd about it though it is in force, one sentence each.
    """

    document: Document
    faults: tuple[str, ...] = ()
