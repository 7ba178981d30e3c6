"""The ranges that answer a query, all of one index version."""

from dataclasses import dataclass

from rhubarbhinge.query._key_range import KeyRange


@dataclass(frozen=True, slots=True)
class Gap:
    """Keys that no searcher announces.

    :param lo: first key.
    :param hi: key after the last.
    """

    lo: int
    hi: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Disjoint ranges of one index version.

    :param version: the pinned index version; 0 when none is announced.
    :param total_records: records of the whole collection at that version.
    :param ranges: disjoint ranges, by first key.
    :param gaps: the keys between them.
    """

    version: int
    total_records: int
    ranges: tuple[KeyRange, ...]
    gaps: tuple[Gap, ...]

    def reachable_records(self) -> int:
        """Give how many records the ranges reach.

        :returns: the sum of the ranges' records.
        """
        return sum(key_range.records for key_range in self.ranges)

    def reachable_share(self) -> float:
        """Give the share of records that the ranges reach.

        :returns: between 0 and 1.
        """
        return self.reachable_records() / max(1, self.total_records)
