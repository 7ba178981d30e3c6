"""Rendezvous hashing: an order of names on which all agree who know the same names."""

from hashlib import blake2b

SCORE_BYTES = 8
"""Two of a thousand names have the same score for one key once in 10^13 keys."""


def score(key: str, name: str) -> bytes:
    """Rank a name for a key; a CRC would favour names that differ in their last letter.

    :param key: what is to be placed.
    :param name: one of the places.
    :returns: the rank; the greatest is the first choice.
    """
    return blake2b(f"{key} {name}".encode(), digest_size=SCORE_BYTES).digest()
