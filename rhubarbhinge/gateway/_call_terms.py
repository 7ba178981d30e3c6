"""What is granted to the calls of one request."""

from rhubarbhinge.delegation import DelegateRequest
from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallTerms, SearchTerms

HEDGE_QUANTILE = 0.92
"""A request that takes longer than so many others is sent to a second searcher."""
LEAST_HEDGE_SHARE = 0.12
"""Hedges wait at least this part of the latency objective."""
MOST_HEDGE_SHARE = 0.45
"""Hedges wait at most this part of the latency objective, so that they still can be in time."""
RETRY_SHARE = 0.5
"""Refusals are followed by further tries up to this part of the latency objective."""


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
    """Work out what is granted to each call of a request.

    :param route_name: the route.
    :param target_latency_ms: the route's latency objective.
    :param idempotent: whether the request may be executed more than once.
    :param max_attempts: most searchers that may execute it.
    :param priority: its rank; 0 is the most urgent.
    :param started_ms: when it was read.
    :param deadline_ms: when the caller stops waiting.
    :param delays: the usual delays of such requests.
    :param due_ms: when a reply is due for the latency objective.
    :param top_k: most records of an answer, for the calls of a search.
    :param searcher: the only searcher that may get it; empty for any. Its refusal is told at once.
    :param searcher_started_unix_ms: the only start of that searcher that may get it; None for any.
    :returns: the terms.
    """
    hedge_ms = min(
        MOST_HEDGE_SHARE * target_latency_ms,
        max(LEAST_HEDGE_SHARE * target_latency_ms, delays.quantile(HEDGE_QUANTILE)),
    )
    return CallTerms(
        route_name,
        idempotent,
        max_attempts,
        hedge_ms if idempotent else None,
        started_ms + (0.0 if searcher else RETRY_SHARE * target_latency_ms),
        deadline_ms,
        priority,
        due_ms,
        None if top_k is None else SearchTerms(top_k, target_latency_ms),
        searcher,
        searcher_started_unix_ms,
    )


def ask_terms(ask: DelegateRequest, delays: Delays, now_ms: float) -> CallTerms:
    """Work out what is granted to each call of an ask of another entry.

    :param ask: the ask.
    :param delays: the usual delays of such requests.
    :param now_ms: the time, when it has come.
    :returns: the terms.
    """
    return call_terms(
        ask.route,
        ask.target_latency_ms,
        True,
        ask.max_attempts,
        ask.priority,
        now_ms,
        now_ms + ask.left_ms,
        delays,
        now_ms + ask.reply_after_ms,
        ask.top_k,
        ask.searcher,
        ask.searcher_started_unix_ms,
    )
