"""Limits and deadlines of the calls of one request."""

from rhubarbhinge.delegation import DelegateRequest
from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallTerms, SearchTerms

HEDGE_QUANTILE = 0.92
"""A request is hedged once it takes longer than this quantile of recent delays."""
MIN_HEDGE_FRACTION = 0.12
"""Minimum wait before a hedge, as a fraction of the latency objective."""
MAX_HEDGE_FRACTION = 0.45
"""Maximum wait before a hedge, as a fraction of the latency objective, so that its reply can still
be in time."""
RETRY_FRACTION = 0.5
"""Refused requests are retried up to this fraction of the latency objective."""


def call_terms(
    route_name: str,
    target_latency_ms: float,
    idempotent: bool,
    max_attempts: int,
    priority: int,
    started_ms: float,
    deadline_ms: float,
    delays: Delays,
    due_ms: float,
    top_k: int | None = None,
    searcher: str = "",
    searcher_started_unix_ms: int | None = None,
) -> CallTerms:
    """Compute the limits and deadlines of each call of a request.

    :param route_name: the route.
    :param target_latency_ms: the route's latency objective.
    :param idempotent: whether the request may be executed more than once.
    :param max_attempts: maximum number of searchers that may execute the request.
    :param priority: priority of the request; 0 is the most urgent.
    :param started_ms: time at which the request was read.
    :param deadline_ms: time at which the caller stops waiting.
    :param delays: recent reply times on the route.
    :param due_ms: time at which a reply has to arrive to meet the latency objective.
    :param top_k: maximum number of records in the answer, for the calls of a search.
    :param searcher: the only searcher that may receive the request, whose refusal is not retried;
        empty for any searcher.
    :param searcher_started_unix_ms: start time of the only process of that searcher that may
        receive the request; None for any.
    :returns: the limits and deadlines.
    """
    hedge_ms = min(
        MAX_HEDGE_FRACTION * target_latency_ms,
        max(MIN_HEDGE_FRACTION * target_latency_ms, delays.quantile(HEDGE_QUANTILE)),
    )
    return CallTerms(
        route_name,
        idempotent,
        max_attempts,
        hedge_ms if idempotent else None,
        started_ms + (0.0 if searcher else RETRY_FRACTION * target_latency_ms),
        deadline_ms,
        priority,
        due_ms,
        None if top_k is None else SearchTerms(top_k, target_latency_ms),
        searcher,
        searcher_started_unix_ms,
    )


def delegated_call_terms(request: DelegateRequest, delays: Delays, now_ms: float) -> CallTerms:
    """Compute the limits and deadlines of each call made on behalf of another entry.

    :param request: the request of the other entry.
    :param delays: recent reply times on the route.
    :param now_ms: time at which the request arrived.
    :returns: the limits and deadlines.
    """
    return call_terms(
        request.route,
        request.target_latency_ms,
        True,
        request.max_attempts,
        request.priority,
        now_ms,
        now_ms + request.left_ms,
        delays,
        now_ms + request.reply_after_ms,
        request.top_k,
        request.searcher,
        request.searcher_started_unix_ms,
    )
