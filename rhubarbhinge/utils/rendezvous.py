"""Rendezvous hashing: all nodes that know the same names rank them in the same order."""

from hashlib import blake2b

SCORE_BYTES = 8
"""With 1,000 names, two of them have equal scores for one in 10^13 keys."""


def score(key: str, name: str) -> bytes:
    """Return the score of a name for a key.

    A CRC is not suitable, as it would favour names that differ only in their last letter.

    :param key: the key to place.
    :param name: a candidate.
    :returns: the score; the candidate with the greatest score is the first choice.
    """
    return blake2b(f"{key} {name}".encode(), digest_size=SCORE_BYTES).digest()
