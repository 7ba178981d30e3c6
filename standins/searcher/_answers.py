"""The bodies of a searcher's answers."""

from functools import lru_cache

import orjson

from standins import records
from standins.searcher._requests import SearchRequest


def refusal(code: str, retry_after_ms: int | None = None, not_run: bool = True) -> bytes:
    """Encode an answer other than 200.

    :param code: The error code.
    :param retry_after_ms: When to try again.
    :param not_run: Whether nothing of the request was executed.
    :returns: The body.
    """
    body: dict[str, object] = {"code": code}
    if not_run:
        body["not_run"] = True
    if retry_after_ms is not None:
        body["retry_after_ms"] = retry_after_ms
    return orjson.dumps(body)


def found(request: SearchRequest) -> bytes:
    """Encode the answer to a search.

    :param request: The search.
    :returns: The body.
    """
    rest = _found_rest(
        request.collection, request.version, request.lo, request.hi, request.text, request.limit
    )
    return b'{"call":' + orjson.dumps(request.call) + rest


def ran(ticket: str, action: str) -> bytes:
    """Encode the answer to an action.

    :param ticket: The ticket.
    :param action: The action's name.
    :returns: The body.
    """
    return orjson.dumps({"ticket": ticket, "result": {"action": action, "done": True}})


@lru_cache(maxsize=65_536)
def _found_rest(collection: str, version: int, lo: int, hi: int, text: str, limit: int) -> bytes:
    body = {
        "collection": collection,
        "version": version,
        "lo": lo,
        "hi": hi,
        "records": records.record_count(collection, version, lo, hi),
        "hits": records.hits(collection, version, lo, hi, text, limit),
    }
    return b"," + orjson.dumps(body)[1:]
