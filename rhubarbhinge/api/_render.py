"""Answers as HTTP responses."""

import math

import orjson

from rhubarbhinge.api._apierror import ApiError
from rhubarbhinge.once import Outcome, OutcomeKind
from rhubarbhinge.query import Answer, MissingRange, Shortfall
from rhubarbhinge.web import Response

_STATUS = {OutcomeKind.RAN: 200, OutcomeKind.REFUSED_NOT_RUN: 503, OutcomeKind.UNKNOWN: 504}

#: Fractions are rounded down to a millionth.
_FRACTION_STEPS = 1_000_000


def error(fault: ApiError) -> Response:
    """Render an error.

    :param fault: what is wrong.
    :returns: the response.
    """
    body = {
        "code": fault.code,
        "message": fault.message,
        "todo": fault.todo,
        "not_run": fault.not_run,
    }
    if fault.retry_after_ms is not None:
        body["retry_after_ms"] = fault.retry_after_ms
    return Response(
        fault.status, orjson.dumps({"error": body}), headers=_retry_after(fault.retry_after_ms)
    )


def answer(found: Answer, revisions: dict[str, int]) -> Response:
    """Render a search's answer.

    :param found: the answer.
    :param revisions: revisions in force, by key.
    :returns: the response.
    """
    document = {
        "snapshot": {"collection": found.collection, "version": found.version},
        "coverage": _coverage(found),
        "hits": found.hits,
        "took_ms": round(found.stats.took_ms, 1),
        "revisions": revisions,
    }
    return Response(200, orjson.dumps(document))


def shortfall(found: Shortfall) -> Response:
    """Render a search that reached too few records for its class.

    :param found: what there is.
    :returns: the response; it has no hits, so that nobody takes them for the whole.
    """
    document = {
        "error": {
            "code": "coverage-too-low",
            "message": "Too few of the records could be searched in time for this class.",
            "todo": "Ask again after the given time.",
            "not_run": False,
            "retry_after_ms": round(found.retry_after_ms),
            "least_coverage": found.least_coverage,
        },
        "snapshot": {"collection": found.answer.collection, "version": found.answer.version},
        "coverage": _coverage(found.answer),
    }
    return Response(503, orjson.dumps(document), headers=_retry_after(found.retry_after_ms))


def outcome(found: Outcome, ticket: str) -> Response:
    """Render what came of a run.

    :param found: one of the three outcomes.
    :param ticket: the ticket's text, empty when there is none.
    :returns: the response.
    """
    document = {
        "outcome": found.kind.value,
        "code": found.code,
        "message": found.message,
        "todo": found.todo,
        "ticket": ticket,
    }
    if found.retry_after_ms:
        document["retry_after_ms"] = found.retry_after_ms
    if found.kind is OutcomeKind.RAN:
        document["result"] = orjson.Fragment(found.result or b"null")
    headers = _retry_after(found.retry_after_ms or None)
    return Response(_STATUS[found.kind], orjson.dumps(document), headers=headers)


def redirect(ticket: str, expires_in_ms: int) -> Response:
    """Render a fresh ticket: nothing has run yet.

    :param ticket: the ticket's text.
    :param expires_in_ms: rest of its lifetime; 0 when it is another entry's.
    :returns: a 307, which stock clients follow with their body.
    """
    document = {"ticket": ticket, "outcome": "not_started", "expires_in_ms": expires_in_ms}
    return Response(307, orjson.dumps(document), headers=(("Location", f"/v1/run/{ticket}"),))


def _coverage(found: Answer) -> dict:
    return {
        "fraction": _fraction(found),
        "records": found.covered_records,
        "total_records": found.total_records,
        "missing": [_missing(missing) for missing in found.missing],
    }


def _missing(missing: MissingRange) -> dict:
    return {
        "lo": missing.lo,
        "hi": missing.hi,
        "records": missing.records,
        "why": missing.why,
    }


def _fraction(found: Answer) -> float:
    if found.total_records == 0:
        return found.coverage
    # Whole numbers, for a float's quotient may already be rounded up.
    return found.covered_records * _FRACTION_STEPS // found.total_records / _FRACTION_STEPS


def _retry_after(retry_after_ms: float | None) -> tuple[tuple[str, str], ...]:
    if retry_after_ms is None:
        return ()
    return (("Retry-After", str(max(1, math.ceil(retry_after_ms / 1000)))),)
