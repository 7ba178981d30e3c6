"""Key ranges that an answer does not cover."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MissingRange:
    """A half-open key range that an answer does not cover.

    :param lo: first key.
    :param hi: end of the range, exclusive.
    :param records: number of records in the range, or None where no searcher announces it.
    :param why: ``no-replica``, ``deadline``, ``shed``, ``broken``, ``lost``, ``draining``,
        ``version-gone``, ``range-moved``, ``queue-full`` or ``not-asked`` (the other ranges cannot
        meet the class's minimum coverage).
    """

    lo: int
    hi: int
    records: int | None
    why: str
