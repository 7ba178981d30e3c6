"""Revisions of published state for tests."""

from rhubarbhinge.utils.revision import Revision


def make_revision(number: int, era: int = 0) -> Revision:
    """Create a revision.

    :param number: its number.
    :param era: its era.
    :returns: the revision.
    """
    return Revision(era, number)
