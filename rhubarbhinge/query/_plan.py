"""Query plans: disjoint key ranges of one index version."""

from dataclasses import dataclass

from rhubarbhinge.query._key_range import KeyRange


@dataclass(frozen=True, slots=True)
class Gap:
    """A half-open key range that no searcher announces.

    :param lo: first key.
    :param hi: end of the range, exclusive.
    """

    lo: int
    hi: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Disjoint key ranges of one index version that together answer a query.

    :param version: the pinned index version; 0 when none is announced.
    :param total_records: records of the whole collection at that version.
    :param ranges: disjoint ranges, sorted by first key.
    :param gaps: the key ranges between them.
    """

    version: int
    total_records: int
    ranges: tuple[KeyRange, ...]
    gaps: tuple[Gap, ...]

    def reachable_records(self) -> int:
        """Return the number of records in the planned ranges.

        :returns: the sum of the ranges' records.
        """
        return sum(key_range.records for key_range in self.ranges)

    def reachable_share(self) -> float:
        """Return the fraction of the collection's records in the planned ranges.

        :returns: between 0 and 1.
        """
        return self.reachable_records() / max(1, self.total_records)
