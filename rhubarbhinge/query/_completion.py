"""Completion of queries: all parts done, coverage unattainable, or deadline reached."""

from rhubarbhinge.query._effects import Answer, Effect, Shortfall
from rhubarbhinge.query._merging import merged_answer
from rhubarbhinge.query._query import Part, Query
from rhubarbhinge.query._shared_query_state import SharedQueryState

#: Lower bound of the retry delay that a shortfall tells the caller.
_MIN_RETRY_AFTER_MS = 100.0


def finish_if_decided(state: SharedQueryState, query: Query, now_ms: float) -> list[Effect]:
    """Finish a query whose outcome is decided.

    This is so if no part is open, if its class's minimum coverage can no longer be reached, or if
    that is reached and the time of early answers has come.

    :param state: the entry's state.
    :param query: the query; one that has ended is ignored.
    :param now_ms: current time in ms.
    :returns: the query's answer, or an empty list.
    """
    if not state.open.is_open(query):
        return []
    unattainable = (
        query.missing and query.max_coverage() < query.request.traffic_class.least_coverage
    )
    if query.open_parts == 0 or unattainable or _is_enough(state, query, now_ms):
        return [finish(state, query, now_ms)]
    return []


def early_answer_ms(state: SharedQueryState, query: Query) -> float:
    """Return the time from which a query is answered as soon as its minimum coverage is reached.

    :param state: the entry's state.
    :param query: the query.
    :returns: before the deadline for a class that prefers latency, else the deadline.
    """
    if query.request.traffic_class.prefers == "coverage":
        return query.deadline_ms
    return query.started_ms + state.policy.early_answer_share * query.request.deadline_ms


def _is_enough(state: SharedQueryState, query: Query, now_ms: float) -> bool:
    waited = now_ms >= early_answer_ms(state, query)
    return waited and query.coverage() >= query.request.traffic_class.least_coverage


def finish(state: SharedQueryState, query: Query, now_ms: float) -> Answer | Shortfall:
    """Answer a query with its current hits and give up its open parts.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: current time in ms.
    :returns: the answer, or a shortfall when its coverage is below the class's minimum.
    """
    for part in query.parts.values():
        if not part.done:
            _give_up(query, part)
    cancel_and_remove(state, query, now_ms)
    answer = merged_answer(query, now_ms)
    least = query.request.traffic_class.least_coverage
    if answer.coverage < least:
        return Shortfall(answer, least, max(_MIN_RETRY_AFTER_MS, query.request.deadline_ms))
    return answer


def cancel_and_remove(state: SharedQueryState, query: Query, now_ms: float) -> None:
    """Cancel a query's outstanding attempts and remove it from the open queries.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: current time in ms.
    """
    cancel_all(state, query, now_ms)
    state.open.remove(query)


def cancel_all(state: SharedQueryState, query: Query, now_ms: float) -> None:
    """Cancel the outstanding attempts of all parts of a query.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: current time in ms.
    """
    for part in query.parts.values():
        cancel_outstanding(state, query, part, now_ms)


def cancel_outstanding(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> None:
    """Cancel the outstanding attempts of a part and refund the token of its planned retry.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: current time in ms.
    """
    for number, attempt in part.attempts.items():
        state.scores.on_overdue(attempt.upstream_id, now_ms - attempt.sent_ms, now_ms)
        state.outbox.cancel(attempt.target.name, query.call_id, part.number, number)
        state.scores.on_ended(attempt.upstream_id)
    part.attempts.clear()
    if part.retry_has_token:
        part.retry_has_token = False
        state.budget(query).refund()


def _give_up(query: Query, part: Part) -> None:
    if part.attempts:
        part.missing_reason = "deadline"
    elif not part.sent and not part.is_waiting():
        part.missing_reason = "not-asked"
    query.mark_missing(part)
