"""Which relays own a searcher: rendezvous hashing, no election."""

from collections.abc import Sequence
from functools import lru_cache

import xxhash


def rendezvous(key: str | int, names: Sequence[str], count: int) -> tuple[str, ...]:
    """Choose names for a key; each name's loss moves only the keys that it had.

    :param key: what is placed, for example a searcher's name.
    :param names: the candidates, in any order.
    :param count: how many to choose.
    :returns: the ``count`` names of highest hash, highest first; all when there are fewer.
    """
    seed = _seed(key)
    if count == 1 and names:
        return (max(names, key=lambda name: _score(seed, name)),)
    ranked = sorted(names, key=lambda name: _score(seed, name), reverse=True)
    return tuple(ranked[:count])


def owners(upstream_name: str, live_relays: Sequence[str]) -> tuple[str | None, str | None]:
    """Give a searcher's owner and stand-by.

    :param upstream_name: the searcher's name in the register.
    :param live_relays: names of the live relays that may own it.
    :returns: owner and stand-by; None for each that there is no relay for.
    """
    best = rendezvous(upstream_name, live_relays, 2)
    owner, standby, *_ = (*best, None, None)
    return owner, standby


def _seed(key: str | int) -> int:
    return xxhash.xxh64_intdigest(str(key).encode())


def _score(seed: int, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(_encoded(name), seed), name


@lru_cache(maxsize=65536)
def _encoded(name: str) -> bytes:
    return name.encode()
