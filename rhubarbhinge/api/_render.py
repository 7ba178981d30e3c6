"""Rendering of results and errors as HTTP responses."""

import math

import orjson

from rhubarbhinge.api._apierror import ApiError
from rhubarbhinge.once import Outcome, OutcomeKind
from rhubarbhinge.query import Answer, MissingRange, Shortfall
from rhubarbhinge.web import Response

_STATUS_BY_OUTCOME = {
    OutcomeKind.RAN: 200,
    OutcomeKind.REFUSED_NOT_RUN: 503,
    OutcomeKind.UNKNOWN: 504,
}

#: Coverage fractions are rounded down to multiples of 1 / _FRACTION_SCALE.
_FRACTION_SCALE = 1_000_000


def error(api_error: ApiError) -> Response:
    """Render an error.

    :param api_error: the error.
    :returns: the HTTP response.
    """
    body = {
        "code": api_error.code,
        "message": api_error.message,
        "todo": api_error.todo,
        "not_run": api_error.not_run,
    }
    if api_error.retry_after_ms is not None:
        body["retry_after_ms"] = api_error.retry_after_ms
    return Response(
        api_error.status,
        orjson.dumps({"error": body}),
        headers=_retry_after_header(api_error.retry_after_ms),
    )


def answer(result: Answer, revisions: dict[str, int]) -> Response:
    """Render the answer to a search.

    :param result: the answer.
    :param revisions: current configuration revisions, by key.
    :returns: the HTTP response.
    """
    document = {
        "snapshot": {"collection": result.collection, "version": result.version},
        "coverage": _coverage_document(result),
        "hits": result.hits,
        "took_ms": round(result.stats.took_ms, 1),
        "revisions": revisions,
    }
    return Response(200, orjson.dumps(document))


def shortfall(search_shortfall: Shortfall) -> Response:
    """Render a search whose coverage is below the minimum of its traffic class.

    :param search_shortfall: the shortfall, with the partial answer.
    :returns: the HTTP response; it omits the hits, so that no caller takes them for a complete
        result.
    """
    document = {
        "error": {
            "code": "coverage-too-low",
            "message": "Too few of the records could be searched in time for this class.",
            "todo": "Ask again after the given time.",
            "not_run": False,
            "retry_after_ms": round(search_shortfall.retry_after_ms),
            "least_coverage": search_shortfall.least_coverage,
        },
        "snapshot": {
            "collection": search_shortfall.answer.collection,
            "version": search_shortfall.answer.version,
        },
        "coverage": _coverage_document(search_shortfall.answer),
    }
    return Response(
        503, orjson.dumps(document), headers=_retry_after_header(search_shortfall.retry_after_ms)
    )


def outcome(run_outcome: Outcome, ticket: str) -> Response:
    """Render the outcome of a run.

    :param run_outcome: the outcome.
    :param ticket: the text of the ticket, empty if there is none.
    :returns: the HTTP response.
    """
    document = {
        "outcome": run_outcome.kind.value,
        "code": run_outcome.code,
        "message": run_outcome.message,
        "todo": run_outcome.todo,
        "ticket": ticket,
    }
    if run_outcome.retry_after_ms:
        document["retry_after_ms"] = run_outcome.retry_after_ms
    if run_outcome.kind is OutcomeKind.RAN:
        document["result"] = orjson.Fragment(run_outcome.result or b"null")
    headers = _retry_after_header(run_outcome.retry_after_ms or None)
    return Response(_STATUS_BY_OUTCOME[run_outcome.kind], orjson.dumps(document), headers=headers)


def redirect(ticket: str, expires_in_ms: int) -> Response:
    """Render the redirect to a newly minted ticket, whose action has not started yet.

    :param ticket: the text of the ticket.
    :param expires_in_ms: remaining lifetime of the ticket; 0 if another entry owns it.
    :returns: a 307 response, on which standard HTTP clients resend the request body.
    """
    document = {"ticket": ticket, "outcome": "not_started", "expires_in_ms": expires_in_ms}
    return Response(307, orjson.dumps(document), headers=(("Location", f"/v1/run/{ticket}"),))


def _coverage_document(result: Answer) -> dict:
    return {
        "fraction": _rounded_fraction(result),
        "records": result.covered_records,
        "total_records": result.total_records,
        "missing": [_missing_document(missing) for missing in result.missing],
    }


def _missing_document(missing: MissingRange) -> dict:
    return {
        "lo": missing.lo,
        "hi": missing.hi,
        "records": missing.records,
        "why": missing.why,
    }


def _rounded_fraction(result: Answer) -> float:
    if result.total_records == 0:
        return result.coverage
    # Uses integer division, because a float quotient may already be rounded up.
    return result.covered_records * _FRACTION_SCALE // result.total_records / _FRACTION_SCALE


def _retry_after_header(retry_after_ms: float | None) -> tuple[tuple[str, str], ...]:
    if retry_after_ms is None:
        return ()
    return (("Retry-After", str(max(1, math.ceil(retry_after_ms / 1000)))),)
