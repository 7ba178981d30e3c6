"""A key range and the searchers that hold it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRange:
    """A half-open key range of one index version and its replicas.

    :param lo: first key.
    :param hi: end of the range, exclusive.
    :param records: number of records in the range, as announced.
    :param upstream_ids: searchers that hold the whole range.
    """

    lo: int
    hi: int
    records: int
    upstream_ids: tuple[int, ...]
