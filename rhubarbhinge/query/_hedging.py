"""Hedging of slow parts, and scheduling of the next check of a query."""

from rhubarbhinge.query._completion import early_answer_ms
from rhubarbhinge.query._query import Attempt, Query
from rhubarbhinge.query._sending import send_extra
from rhubarbhinge.query._shared_query_state import SharedQueryState

#: Checks of a query in each hedge delay, after its first check.
_CHECKS_PER_DELAY = 4


def hedge(state: SharedQueryState, query: Query, now_ms: float) -> None:
    """Send a second sub-query for each part whose only attempt exceeds the hedge delay.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: current time in ms.
    """
    if not state.policy.hedging:
        return
    delay_ms = _delay_ms(state, query)
    for part in query.parts.values():
        if part.done or len(part.attempts) != 1:
            continue
        attempt = next(iter(part.attempts.values()))
        waited_ms = now_ms - attempt.sent_ms
        if waited_ms < delay_ms:
            continue
        _record_overdue(state, attempt, waited_ms, now_ms)
        query.hedges += send_extra(state, query, part, now_ms)


def schedule_next_check(state: SharedQueryState, query: Query, now_ms: float) -> None:
    """Schedule the next check of a query: for its deadline, early answer, retries or hedges.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: current time in ms.
    """
    at_ms = min(query.deadline_ms - state.policy.answer_margin_ms, query.next_retry_ms())
    if now_ms < early_answer_ms(state, query):
        at_ms = min(at_ms, early_answer_ms(state, query))
    if state.policy.hedging:
        delay_ms = _delay_ms(state, query)
        if now_ms > query.started_ms:
            delay_ms = max(state.policy.min_hedge_delay_ms, delay_ms / _CHECKS_PER_DELAY)
        at_ms = min(at_ms, now_ms + delay_ms)
    state.open.schedule_check(query, at_ms)


def _delay_ms(state: SharedQueryState, query: Query) -> float:
    share = query.request.traffic_class.hedge_quantile
    delay_ms = state.latency_histogram(query).quantile(share, state.policy.initial_hedge_delay_ms)
    return max(state.policy.min_hedge_delay_ms, delay_ms)


def _record_overdue(
    state: SharedQueryState, attempt: Attempt, waited_ms: float, now_ms: float
) -> None:
    if not attempt.overdue:
        attempt.overdue = True
        state.scores.on_overdue(attempt.upstream_id, waited_ms, now_ms)
