"""A searcher's number in messages."""

import functools

import xxhash


@functools.lru_cache(maxsize=65536)
def upstream_id(name: str) -> int:
    """Give a searcher's number: stable over registers, restarts and nodes.

    :param name: the searcher's name in the register.
    :returns: 64 bits of the name's XXH64 hash.
    """
    return xxhash.xxh64_intdigest(name.encode())
