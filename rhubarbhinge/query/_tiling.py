"""Choose disjoint ranges that reach the most records."""

from collections.abc import Iterable

from rhubarbhinge.query._plan import Gap
from rhubarbhinge.query._tile import Tile


def tiling(tiles: Iterable[Tile], lo: int, hi: int) -> tuple[tuple[Tile, ...], tuple[Gap, ...]]:
    """Choose disjoint tiles within a range of keys that reach the most records.

    Announced ranges overlap while shards are split or merged. A walk over the ranges' bounds from
    the right finds for each bound the best choice of tiles to its right, so that no record counts
    twice. Among equals the choice with more replicas wins.

    :param tiles: announced ranges.
    :param lo: first key wanted.
    :param hi: key after the last wanted.
    :returns: the chosen tiles by first key, and the gaps between them.
    """
    inside = [tile for tile in tiles if lo <= tile.lo < tile.hi <= hi]
    starts: dict[int, list[Tile]] = {}
    for tile in inside:
        starts.setdefault(tile.lo, []).append(tile)
    bounds = sorted({lo, hi} | {tile.lo for tile in inside} | {tile.hi for tile in inside})
    best: dict[int, tuple[int, int, Tile | None, int]] = {hi: (0, 0, None, hi)}
    for place in range(len(bounds) - 2, -1, -1):
        bound = bounds[place]
        after = bounds[place + 1]
        best[bound] = _best_from(starts.get(bound, ()), best, after)
    return _walk(best, lo, hi)


def _best_from(
    tiles: Iterable[Tile], best: dict[int, tuple[int, int, Tile | None, int]], after: int
) -> tuple[int, int, Tile | None, int]:
    records, replicas, _, _ = best[after]
    found: tuple[int, int, Tile | None, int] = (records, replicas, None, after)
    for tile in tiles:
        records, replicas, _, _ = best[tile.hi]
        candidate = (records + tile.records, replicas + len(tile.upstream_ids), tile, tile.hi)
        if found[2] is None and candidate[0] >= found[0] or candidate[:2] > found[:2]:
            found = candidate
    return found


def _walk(
    best: dict[int, tuple[int, int, Tile | None, int]], lo: int, hi: int
) -> tuple[tuple[Tile, ...], tuple[Gap, ...]]:
    chosen = []
    gaps: list[Gap] = []
    at = lo
    while at < hi:
        _, _, tile, after = best[at]
        if tile is not None:
            chosen.append(tile)
        elif gaps and gaps[-1].hi == at:
            gaps[-1] = Gap(gaps[-1].lo, after)
        else:
            gaps.append(Gap(at, after))
        at = after
    return tuple(chosen), tuple(gaps)
