"""One range of a plan and who can answer for it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRange:
    """One range of one index version.

    :param lo: first key.
    :param hi: key after the last.
    :param records: records within, as announced.
    :param upstream_ids: searchers that hold all of it.
    """

    lo: int
    hi: int
    records: int
    upstream_ids: tuple[int, ...]
