"""Check a searcher's answer against what was asked."""

import orjson

from rhubarbhinge.query._call import Call, Part
from rhubarbhinge.utils.nesting import is_nesting_within

#: Lists and objects may be nested this deep in a hit; orjson reads 1,024 levels and writes 254.
_MOST_DEPTH = 16


def checked_hits(body: bytes, call: Call, part: Part) -> list[dict] | None:
    """Read a searcher's answer.

    An answer for another collection, version or range, or with another count of records than was
    announced for this range and version, is not merged: it would mix snapshots or misstate
    coverage.

    :param body: the answer, JSON.
    :param call: the call.
    :param part: the part that was asked for.
    :returns: the hits, or None when the answer is not the one asked for.
    """
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(answer, dict):
        return None
    tile = part.tile
    if (
        answer.get("version") != call.plan.version
        or answer.get("collection") != call.request.collection
        or answer.get("lo") != tile.lo
        or answer.get("hi") != tile.hi
        or answer.get("records") != tile.records
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
    return flat or is_nesting_within(hits, _MOST_DEPTH)
