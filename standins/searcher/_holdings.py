"""Which ranges of which index versions a searcher holds."""

from dataclasses import dataclass

from standins import records

Ranges = tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Holdings:
    """The ranges by collection and version.

    :param ranges: For each collection and version, the ranges held.
    """

    ranges: dict[str, dict[int, Ranges]]

    def with_version(self, collection: str, version: int, ranges: Ranges) -> "Holdings":
        """Publish a version, or change the ranges of one.

        :param collection: The collection's name.
        :param version: The index version.
        :param ranges: The ranges held of it.
        :returns: The new holdings.
        """
        versions = {**self.ranges.get(collection, {}), version: ranges}
        return Holdings({**self.ranges, collection: versions})

    def without_version(self, collection: str, version: int) -> "Holdings":
        """Drop a version.

        :param collection: The collection's name.
        :param version: The index version.
        :returns: The new holdings.
        """
        versions = dict(self.ranges.get(collection, {}))
        versions.pop(version, None)
        return Holdings({**self.ranges, collection: versions})

    def repartitioned(self, collection: str, ranges: Ranges) -> "Holdings":
        """Split, merge or move ranges: change those of every version of a collection.

        :param collection: The collection's name.
        :param ranges: The ranges held from now on.
        :returns: The new holdings.
        """
        versions = {version: ranges for version in self.ranges.get(collection, {})}
        return Holdings({**self.ranges, collection: versions})

    def count_records(self) -> None:
        """Fill the cache of record counts, so that no request waits for it."""
        for collection, versions in self.ranges.items():
            for version in versions:
                records.total_records(collection, version)

    def document(self) -> dict[str, dict[str, Ranges]]:
        """Give the holdings as JSON, the way :func:`holdings_from` reads them.

        :returns: Ranges by collection and version.
        """
        return {
            collection: {str(version): held for version, held in versions.items()}
            for collection, versions in self.ranges.items()
        }

    def refusal(
        self, collection: str, version: int, lo: int, hi: int, exact: bool = False
    ) -> str | None:
        """Say why a range cannot be searched.

        :param collection: The collection's name.
        :param version: The index version.
        :param lo: The first key.
        :param hi: The key after the last.
        :param exact: Whether only a range held as such will do.
        :returns: An error code, or None when it can.
        """
        held = self.ranges.get(collection, {}).get(version)
        if held is None:
            return "version-gone"
        if exact:
            return None if (lo, hi) in held else "range-moved"
        return None if _covered(held, lo, hi) else "range-moved"

    def published(self) -> dict[str, dict[str, object]]:
        """Describe the holdings as ``GET /health`` gives them.

        :returns: The ``collections`` object.
        """
        return {
            collection: {
                str(version): _published(collection, version, held)
                for version, held in versions.items()
            }
            for collection, versions in self.ranges.items()
        }


def holdings_from(document: dict[str, dict[str, list[list[int]]]]) -> Holdings:
    """Read holdings from JSON.

    :param document: Ranges ``[lo, hi]`` by collection and version.
    :returns: The holdings.
    """
    return Holdings(
        {
            collection: {int(version): ranges_from(held) for version, held in versions.items()}
            for collection, versions in document.items()
        }
    )


def ranges_from(document: list[list[int]]) -> Ranges:
    """Read ranges from JSON.

    :param document: A list of ``[lo, hi]``.
    :returns: The ranges, in order.
    """
    return tuple(sorted((int(lo), int(hi)) for lo, hi in document))


def _covered(held: Ranges, lo: int, hi: int) -> bool:
    reached = lo
    for first, after in held:
        if first <= reached < after:
            reached = after
    return reached >= hi


def _published(collection: str, version: int, held: Ranges) -> dict[str, object]:
    ranges = [
        {"lo": lo, "hi": hi, "records": records.record_count(collection, version, lo, hi)}
        for lo, hi in held
    ]
    return {"total_records": records.total_records(collection, version), "ranges": ranges}
