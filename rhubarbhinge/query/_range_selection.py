"""Selection of disjoint key ranges that contain the most records."""

from collections.abc import Iterable

from rhubarbhinge.query._key_range import KeyRange
from rhubarbhinge.query._plan import Gap


def select_ranges(
    ranges: Iterable[KeyRange], lo: int, hi: int
) -> tuple[tuple[KeyRange, ...], tuple[Gap, ...]]:
    """Select disjoint ranges between two keys that contain the most records.

    Announced ranges overlap while shards are split or merged. Dynamic programming over the ranges'
    bounds, from right to left, finds the best selection to the right of each bound, so that no
    record counts twice. Ties are resolved in favour of the selection with more replicas.

    :param ranges: announced ranges, which may overlap.
    :param lo: first key wanted.
    :param hi: end of the wanted range, exclusive.
    :returns: the selected ranges, sorted by first key, and the gaps between them.
    """
    inside = [key_range for key_range in ranges if lo <= key_range.lo < key_range.hi <= hi]
    starts: dict[int, list[KeyRange]] = {}
    for key_range in inside:
        starts.setdefault(key_range.lo, []).append(key_range)
    bounds = sorted(
        {lo, hi} | {key_range.lo for key_range in inside} | {key_range.hi for key_range in inside}
    )
    best: dict[int, tuple[int, int, KeyRange | None, int]] = {hi: (0, 0, None, hi)}
    for index in range(len(bounds) - 2, -1, -1):
        bound = bounds[index]
        next_bound = bounds[index + 1]
        best[bound] = _best_from(starts.get(bound, ()), best, next_bound)
    return _collect_selection(best, lo, hi)


def _best_from(
    ranges: Iterable[KeyRange],
    best: dict[int, tuple[int, int, KeyRange | None, int]],
    next_bound: int,
) -> tuple[int, int, KeyRange | None, int]:
    records, replicas, _, _ = best[next_bound]
    found: tuple[int, int, KeyRange | None, int] = (records, replicas, None, next_bound)
    for key_range in ranges:
        records, replicas, _, _ = best[key_range.hi]
        candidate = (
            records + key_range.records,
            replicas + len(key_range.upstream_ids),
            key_range,
            key_range.hi,
        )
        if found[2] is None and candidate[0] >= found[0] or candidate[:2] > found[:2]:
            found = candidate
    return found


def _collect_selection(
    best: dict[int, tuple[int, int, KeyRange | None, int]], lo: int, hi: int
) -> tuple[tuple[KeyRange, ...], tuple[Gap, ...]]:
    chosen = []
    gaps: list[Gap] = []
    at = lo
    while at < hi:
        _, _, key_range, next_bound = best[at]
        if key_range is not None:
            chosen.append(key_range)
        elif gaps and gaps[-1].hi == at:
            gaps[-1] = Gap(gaps[-1].lo, next_bound)
        else:
            gaps.append(Gap(at, next_bound))
        at = next_bound
    return tuple(chosen), tuple(gaps)
