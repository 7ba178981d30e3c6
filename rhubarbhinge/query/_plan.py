"""The ranges that answer a query, all of one index version."""

from dataclasses import dataclass

from rhubarbhinge.query._tile import Tile


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
    :param tiles: disjoint ranges, by first key.
    :param gaps: the keys between them.
    """

    version: int
    total_records: int
    tiles: tuple[Tile, ...]
    gaps: tuple[Gap, ...]

    def reachable_records(self) -> int:
        """Give how many records the tiles reach.

        :returns: the sum of the tiles' records.
        """
        return sum(tile.records for tile in self.tiles)

    def reachable_share(self) -> float:
        """Give the share of records that the tiles reach.

        :returns: between 0 and 1.
        """
        return self.reachable_records() / max(1, self.total_records)
