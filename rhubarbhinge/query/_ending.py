"""End queries: when nothing is open, when coverage is out of reach, at the deadline."""

from rhubarbhinge.query._call import Call, Part
from rhubarbhinge.query._effects import Answer, Effect, Shortfall
from rhubarbhinge.query._merging import merged_answer
from rhubarbhinge.query._querystate import QueryState

#: A caller is told to wait this long at least after a shortfall.
_LEAST_RETRY_AFTER_MS = 100.0


def settle(state: QueryState, call: Call, now_ms: float) -> list[Effect]:
    """End a query if no part is open, its coverage is enough by now, or can't become enough.

    :param state: the entry's state.
    :param call: the query; one that has ended is left alone.
    :param now_ms: the time.
    :returns: its answer, or nothing.
    """
    if not state.open.is_open(call):
        return []
    hopeless = call.lost and call.best_coverage() < call.request.traffic_class.least_coverage
    if call.open_parts == 0 or hopeless or _is_enough(state, call, now_ms):
        return [finish(state, call, now_ms)]
    return []


def patience_end_ms(state: QueryState, call: Call) -> float:
    """Give the time from which enough coverage ends a query.

    :param state: the entry's state.
    :param call: the query.
    :returns: within the deadline for a class that prefers latency, else the deadline.
    """
    if call.request.traffic_class.prefers == "coverage":
        return call.deadline_ms
    return call.started_ms + state.policy.patience_share * call.request.deadline_ms


def _is_enough(state: QueryState, call: Call, now_ms: float) -> bool:
    waited = now_ms >= patience_end_ms(state, call)
    return waited and call.coverage() >= call.request.traffic_class.least_coverage


def finish(state: QueryState, call: Call, now_ms: float) -> Answer | Shortfall:
    """End a query with what it has; open parts are given up.

    :param state: the entry's state.
    :param call: the query.
    :param now_ms: the time.
    :returns: its answer, or a shortfall when that covers too little.
    """
    for part in call.parts.values():
        if not part.done:
            _give_up(call, part)
    end(state, call, now_ms)
    answer = merged_answer(call, now_ms)
    least = call.request.traffic_class.least_coverage
    if answer.coverage < least:
        return Shortfall(answer, least, max(_LEAST_RETRY_AFTER_MS, call.request.deadline_ms))
    return answer


def end(state: QueryState, call: Call, now_ms: float) -> None:
    """Cancel what a query still waits for and forget it.

    :param state: the entry's state.
    :param call: the query.
    :param now_ms: the time.
    """
    cancel_all(state, call, now_ms)
    state.open.remove(call)


def cancel_all(state: QueryState, call: Call, now_ms: float) -> None:
    """Cancel the outstanding attempts of all parts.

    :param state: the entry's state.
    :param call: the query.
    :param now_ms: the time.
    """
    for part in call.parts.values():
        cancel_rest(state, call, part, now_ms)


def cancel_rest(state: QueryState, call: Call, part: Part, now_ms: float) -> None:
    """Cancel the outstanding attempts of a part, and return the token of one that was to come.

    :param state: the entry's state.
    :param call: the query.
    :param part: the part.
    :param now_ms: the time.
    """
    for number, attempt in part.attempts.items():
        state.scores.on_overdue(attempt.upstream_id, now_ms - attempt.sent_ms, now_ms)
        state.outbox.cancel(attempt.target.name, call.call_id, part.number, number)
        state.scores.on_ended(attempt.upstream_id)
    part.attempts.clear()
    if part.holds_token:
        part.holds_token = False
        state.budget(call).give_back()


def _give_up(call: Call, part: Part) -> None:
    if part.attempts:
        part.why = "deadline"
    elif not part.sent and not part.waits():
        part.why = "not-asked"
    call.lose(part)
