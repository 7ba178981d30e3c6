"""What answers to searches have to be, computed from the stand-ins' records."""

from rhubarbhinge.history import (
    Event,
    Violation,
    covered_ranges,
    one_snapshot,
    own_answer,
    true_coverage,
)
from standins import records

_STATUSES = (200, 503)


def search_violations(events: list[Event]) -> list[Violation]:
    """Check all searches of a history.

    :param events: the history; all its requests are searches.
    :returns: answers that mix versions, misstate their coverage, or are not the best of what they
        cover.
    """
    found = own_answer(events, is_own)
    found += one_snapshot(events, _snapshot_of)
    return found + true_coverage(events, records.record_count)


def is_own(asked: Event, answered: Event) -> bool:
    """Tell whether an answer is the right one to a search.

    :param asked: the search.
    :param answered: the answer.
    :returns: True for the best hits of what is covered, and for a refusal with a code.
    """
    body = answered["body"]
    if answered["status"] not in _STATUSES:
        return False
    if answered["status"] != 200:
        return bool(body["error"]["code"])
    document = asked["document"]
    snapshot = body["snapshot"]
    covered = covered_ranges(body["coverage"]["missing"])
    if snapshot["collection"] != document["collection"] or covered is None:
        return False
    return body["hits"] == _best(snapshot["version"], covered, document)


def _best(version: int, covered: list[tuple[int, int]], document: dict) -> list[dict]:
    collection, text, limit = (document[name] for name in ("collection", "text", "limit"))
    found = [
        hit for lo, hi in covered for hit in records.hits(collection, version, lo, hi, text, limit)
    ]
    return sorted(found, key=lambda hit: (-hit["score"], hit["id"]))[:limit]


def _snapshot_of(hit: dict) -> tuple[str, int]:
    collection, version, _ = hit["id"].rsplit(".", 2)
    return collection, int(version)
