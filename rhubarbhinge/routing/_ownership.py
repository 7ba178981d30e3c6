"""Ownership of searchers by relays, decided by rendezvous hashing without election."""

from collections.abc import Sequence
from functools import lru_cache
from operator import itemgetter

import xxhash

#: Number of cached candidate sets with encoded names; one per cell or failure domain in use.
NAME_CACHE_SIZE = 256


def rendezvous(key: str | int, names: Sequence[str], count: int) -> tuple[str, ...]:
    """Choose names for a key; removing a name moves only the keys assigned to it.

    Each name's weight for the key is a hash of both (Thaler and Ravishankar, Using Name-Based
    Mappings to Increase Hit Rates, 1998).

    :param key: key to place, for example a searcher's name.
    :param names: the candidates, in any order, without duplicates.
    :param count: number of names to choose.
    :returns: the ``count`` names of highest hash, highest first; all when there are fewer.
    """
    digest = xxhash.xxh64_intdigest
    seed = digest(str(key).encode())
    scored = [(digest(data, seed), name) for data, name in _encoded(tuple(names))]
    if count == 1 and scored:
        return (max(scored)[1],)
    scored.sort(reverse=True)
    return tuple(map(itemgetter(1), scored[:count]))


def owners(upstream_name: str, live_relays: Sequence[str]) -> tuple[str | None, str | None]:
    """Return a searcher's owner and stand-by.

    :param upstream_name: the searcher's name in the register.
    :param live_relays: names of the live relays that may own it.
    :returns: owner and stand-by; either is None if there are too few relays.
    """
    best = rendezvous(upstream_name, live_relays, 2)
    owner, standby, *_ = (*best, None, None)
    return owner, standby


@lru_cache(maxsize=NAME_CACHE_SIZE)
def _encoded(names: tuple[str, ...]) -> tuple[tuple[bytes, str], ...]:
    return tuple((name.encode(), name) for name in names)
