"""Send late parts to a second replica, and plan when a query is looked at next."""

from rhubarbhinge.query._completion import early_answer_ms
from rhubarbhinge.query._query import Attempt, Query
from rhubarbhinge.query._sending import send_extra
from rhubarbhinge.query._shared_query_state import SharedQueryState

#: After its first look a query is looked at this many times in each hedge delay.
_CHECKS_PER_DELAY = 4


def hedge(state: SharedQueryState, query: Query, now_ms: float) -> None:
    """Send the parts whose only attempt is late to another replica too.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: the time.
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


def schedule(state: SharedQueryState, query: Query, now_ms: float) -> None:
    """Plan when a query is looked at next: for its deadline, a retry or a hedge.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: the time.
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
