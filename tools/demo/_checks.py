"""Check answers against what the searchers' records say."""

from collections.abc import Mapping
from typing import Any

from standins import records

KEY_SPACE = records.KEY_SPACE


class DemoFault(Exception):
    """An answer that is not what it has to be."""


def check_answer(collection: str, text: str, limit: int, answer: Mapping[str, Any]) -> None:
    """Recompute a search's answer.

    :param collection: the collection searched.
    :param text: the search text.
    :param limit: most hits asked for.
    :param answer: the answer.
    :raises DemoFault: when coverage is misstated or the hits are not the best of what is covered.
    """
    snapshot = answer["snapshot"]
    _expect(snapshot["collection"] == collection, "the answer is of another collection")
    version = snapshot["version"]
    coverage = answer["coverage"]
    missing = [(gap["lo"], gap["hi"]) for gap in coverage["missing"]]
    ranges = _covered(missing)
    covered = sum(records.record_count(collection, version, lo, hi) for lo, hi in ranges)
    total = records.total_records(collection, version)
    _expect(coverage["records"] == covered, "the covered records are misstated")
    _expect(coverage["total_records"] == total, "the total is misstated")
    _expect(coverage["fraction"] <= covered / total, "the coverage is overstated")
    wanted = _best(collection, version, ranges, text, limit)
    _expect([hit["score"] for hit in answer["hits"]] == wanted, "the hits are not the best")


def expect(condition: bool, otherwise: str) -> None:
    """Check something.

    :param condition: what has to hold.
    :param otherwise: said when it does not.
    :raises DemoFault: when it does not.
    """
    _expect(condition, otherwise)


def _expect(condition: bool, otherwise: str) -> None:
    if not condition:
        raise DemoFault(otherwise)


def _covered(missing: list[tuple[int, int]]) -> list[tuple[int, int]]:
    ranges = []
    at = 0
    for lo, hi in sorted(missing):
        if at < lo:
            ranges.append((at, lo))
        at = hi
    if at < KEY_SPACE:
        ranges.append((at, KEY_SPACE))
    return ranges


def _best(
    collection: str, version: int, ranges: list[tuple[int, int]], text: str, limit: int
) -> list[float]:
    scores = [
        hit["score"]
        for lo, hi in ranges
        for hit in records.hits(collection, version, lo, hi, text, limit)
    ]
    return sorted(scores, reverse=True)[:limit]
