"""What index versions and ranges a searcher holds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HoldingReport:
    """Everything that one searcher holds; replaces the searcher's earlier report.

    The tuples stand side by side, one place a range.

    :param upstream_id: the searcher.
    :param incarnation: the searcher's incarnation; a lower one is stale.
    :param collections: collection of each range.
    :param versions: index version of each range.
    :param total_records: records in the whole collection at that version.
    :param los: first key of each range.
    :param his: key after the last of each range.
    :param records: records within each range.
    """

    upstream_id: int
    incarnation: int
    collections: tuple[str, ...]
    versions: tuple[int, ...]
    total_records: tuple[int, ...]
    los: tuple[int, ...]
    his: tuple[int, ...]
    records: tuple[int, ...]
