"""Parsing of searchers' answers and validation against the sub-query."""

import orjson

from rhubarbhinge.query._query import Part, Query
from rhubarbhinge.utils.nesting import is_nesting_within

#: Maximum nesting of lists and objects in a hit; orjson reads 1,024 levels, but writes only 254.
_MAX_HIT_DEPTH = 16


def parse_hits(body: bytes, query: Query, part: Part) -> list[dict] | None:
    """Parse and validate a searcher's answer.

    An answer for another collection, version or range, or with another number of records than was
    announced for this range and version, is rejected: it would mix snapshots or misstate coverage.

    :param body: the answer, JSON.
    :param query: the query.
    :param part: the part that the sub-query was sent for.
    :returns: the hits, or None when the answer is malformed or does not match the sub-query.
    """
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(answer, dict):
        return None
    key_range = part.key_range
    if (
        answer.get("version") != query.plan.version
        or answer.get("collection") != query.request.collection
        or answer.get("lo") != key_range.lo
        or answer.get("hi") != key_range.hi
        or answer.get("records") != key_range.records
    ):
        return None
    hits = answer.get("hits")
    if not isinstance(hits, list):
        return None
    if not all(map(_is_hit, hits)) or not _is_shallow(body, hits):
        return None
    return hits


def _is_hit(hit: object) -> bool:
    return isinstance(hit, dict) and isinstance(hit.get("score"), int | float) and "id" in hit


def _is_shallow(body: bytes, hits: list[dict]) -> bool:
    flat = body.count(b"{") + body.count(b"[") <= len(hits) + 2
    return flat or is_nesting_within(hits, _MAX_HIT_DEPTH)
