"""The records of every collection, as pure functions that a checker can compute again.

A record is named by its collection, index version and key. Whether it exists, and how well it
matches a text, follow from hashes, so that no data is stored and every searcher agrees.
"""

from array import array
from functools import lru_cache
from itertools import accumulate

import xxhash

KEY_SPACE = 65_536
"""Keys of a collection are 0 to this number, exclusive (docs/architecture.md)."""

_EXISTS_MODULUS = 97
_EXISTS_BELOW = 73
_VERSION_STEP = 7
_MATCH_STRIDE = 61
_SCORE_STEPS = 10_000


def exists(collection: str, version: int, key: int) -> bool:
    """Say whether a record exists.

    :param collection: The collection's name.
    :param version: The index version.
    :param key: The record's key.
    :returns: True when the version holds a record with this key.
    """
    residue = _residues(collection)[key]
    return (residue + version * _VERSION_STEP) % _EXISTS_MODULUS < _EXISTS_BELOW


def record_count(collection: str, version: int, lo: int, hi: int) -> int:
    """Count the records with keys ``lo <= key < hi``.

    :param collection: The collection's name.
    :param version: The index version.
    :param lo: The first key.
    :param hi: The key after the last.
    :returns: The number of records.
    """
    counts = _counts_below(collection, version)
    return counts[hi] - counts[lo]


def total_records(collection: str, version: int) -> int:
    """Count all records of a collection at a version.

    :param collection: The collection's name.
    :param version: The index version.
    :returns: The number of records.
    """
    return record_count(collection, version, 0, KEY_SPACE)


def record_id(collection: str, version: int, key: int) -> str:
    """Name a record; the name contains the version, so that a mix of versions is seen.

    :param collection: The collection's name.
    :param version: The index version.
    :param key: The record's key.
    :returns: A name such as ``overhauls.41.00017``.
    """
    return f"{collection}.{version}.{key:05d}"


@lru_cache(maxsize=65_536)
def hits(
    collection: str, version: int, lo: int, hi: int, text: str, limit: int
) -> tuple[dict[str, str | float], ...]:
    """Find the best matches in a range.

    The best of a whole range are the best of its parts' hits, however the range is split.

    :param collection: The collection's name.
    :param version: The index version.
    :param lo: The first key.
    :param hi: The key after the last.
    :param text: The text sought.
    :param limit: The most hits to give.
    :returns: Hits with ``id``, ``score`` and ``title``, best first, equal scores by ``id``;
        shared between callers, so not to be changed.
    """
    seed = xxhash.xxh32_intdigest(f"{collection}/{version}/{text}".encode())
    residues = _residues(collection)
    shift = version * _VERSION_STEP
    ranked = sorted(
        (-_score_steps(key, seed), key)
        for key in _matching_keys(lo, hi, text)
        if (residues[key] + shift) % _EXISTS_MODULUS < _EXISTS_BELOW
    )
    return tuple(
        _hit(collection, version, key, -steps / _SCORE_STEPS, text) for steps, key in ranked[:limit]
    )


def _matching_keys(lo: int, hi: int, text: str) -> range:
    first = xxhash.xxh32_intdigest(text.encode()) % _MATCH_STRIDE
    skipped = max(0, -(-(lo - first) // _MATCH_STRIDE))
    return range(first + skipped * _MATCH_STRIDE, hi, _MATCH_STRIDE)


def _score_steps(key: int, seed: int) -> int:
    return xxhash.xxh32_intdigest(b"%d" % key, seed) % _SCORE_STEPS


def _hit(
    collection: str, version: int, key: int, score: float, text: str
) -> dict[str, str | float]:
    name = record_id(collection, version, key)
    return {"id": name, "score": score, "title": f"{text}: record {key} of {collection}"}


@lru_cache(maxsize=256)
def _residues(collection: str) -> bytes:
    digest = xxhash.xxh32_intdigest
    name = collection.encode()
    return bytes(digest(b"%s/%d" % (name, key)) % _EXISTS_MODULUS for key in range(KEY_SPACE))


@lru_cache(maxsize=64)
def _counts_below(collection: str, version: int) -> array:
    shift = version * _VERSION_STEP
    present = (
        (residue + shift) % _EXISTS_MODULUS < _EXISTS_BELOW for residue in _residues(collection)
    )
    return array("I", accumulate(present, initial=0))
