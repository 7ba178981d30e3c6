"""Interpretation of a searcher's HTTP responses."""

from typing import Any

import orjson

from rhubarbhinge.routing._runoutcome import RunOutcome
from rhubarbhinge.wire import SubCode

#: Plain integers, since access to enumeration members is several times slower.
_ANSWERED = int(SubCode.ANSWERED)
_SHED = int(SubCode.SHED)
_DRAINING = int(SubCode.DRAINING)
_DEADLINE = int(SubCode.DEADLINE)
_BROKEN = int(SubCode.BROKEN)
_CONFLICT_CODES = {
    "version-gone": int(SubCode.VERSION_GONE),
    "range-moved": int(SubCode.RANGE_MOVED),
}
#: Upper bound on a searcher's retry-after; larger values are clamped to it.
MAX_RETRY_AFTER_MS = 60_000


def search_outcome(status: int, call: bytes, body: bytes) -> tuple[int, int]:
    """Interpret the response to a search.

    :param status: HTTP status code.
    :param call: call identifier that the request carried.
    :param body: response body.
    :returns: a :class:`rhubarbhinge.wire.SubCode` value and the retry-after in ms.
    """
    if status == 200 and body.startswith(b'{"call":"' + call + b'"') and body.endswith(b"}"):
        return _ANSWERED, 0
    doc = _parse_object(body)
    if doc is None or not _matches_call(doc, status, call):
        return _BROKEN, 0
    if status == 200:
        return _ANSWERED, 0
    if status == 503:
        code = _DRAINING if doc.get("code") == "draining" else _SHED
        return code, retry_after_ms(doc)
    if status == 409:
        return _CONFLICT_CODES.get(str(doc.get("code")), _BROKEN), 0
    if status == 504:
        return _DEADLINE, 0
    return _BROKEN, 0


def run_outcome(status: int, ticket: str, body: bytes) -> tuple[RunOutcome, int]:
    """Interpret the response to a run; an inconclusive one gives an unknown outcome.

    :param status: HTTP status code.
    :param ticket: the run's ticket.
    :param body: response body.
    :returns: the outcome and the retry-after in ms.
    """
    doc = _parse_object(body)
    if doc is None or doc.get("ticket", ticket) != ticket:
        return RunOutcome.UNKNOWN, 0
    if status == 200 and "ticket" in doc:
        return RunOutcome.RAN, 0
    if status == 503 and doc.get("not_run") is True:
        return RunOutcome.REFUSED_NOT_RUN, retry_after_ms(doc)
    return RunOutcome.UNKNOWN, 0


def retry_after_ms(doc: dict[str, Any]) -> int:
    """Read a refusal's retry-after.

    :param doc: the refusal.
    :returns: time in ms, 0 if it is missing or malformed.
    """
    value = doc.get("retry_after_ms")
    if type(value) is not int:
        return 0
    return max(0, min(value, MAX_RETRY_AFTER_MS))


def reports_draining(status: int, body: bytes) -> bool:
    """Return whether a refusal reports that the searcher is draining.

    :param status: HTTP status code.
    :param body: response body.
    :returns: True for 503 with the code ``draining``.
    """
    if status != 503:
        return False
    doc = _parse_object(body)
    return doc is not None and doc.get("code") == "draining"


def _matches_call(doc: dict[str, Any], status: int, call: bytes) -> bool:
    if status == 200 and "call" not in doc:
        return False
    response_call = doc.get("call", call.decode())
    return response_call == call.decode()


def _parse_object(body: bytes) -> dict[str, Any] | None:
    try:
        doc = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    return doc if isinstance(doc, dict) else None
