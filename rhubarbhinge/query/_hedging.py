"""Send late parts to a second replica, and plan when a query is looked at next."""

from rhubarbhinge.query._call import Attempt, Call
from rhubarbhinge.query._ending import patience_end_ms
from rhubarbhinge.query._querystate import QueryState
from rhubarbhinge.query._sending import send_extra

#: After its first look a query is looked at this many times in each hedge delay.
_LOOKS_IN_DELAY = 4


def hedge(state: QueryState, call: Call, now_ms: float) -> None:
    """Send the parts whose only attempt is late to another replica too.

    :param state: the entry's state.
    :param call: the query.
    :param now_ms: the time.
    """
    if not state.policy.hedging:
        return
    delay_ms = _delay_ms(state, call)
    for part in call.parts.values():
        if part.done or len(part.attempts) != 1:
            continue
        attempt = next(iter(part.attempts.values()))
        waited_ms = now_ms - attempt.sent_ms
        if waited_ms < delay_ms:
            continue
        _note_overdue(state, attempt, waited_ms, now_ms)
        call.hedges += send_extra(state, call, part, now_ms)


def schedule(state: QueryState, call: Call, now_ms: float) -> None:
    """Plan when a query is looked at next: for its deadline, a retry or a hedge.

    :param state: the entry's state.
    :param call: the query.
    :param now_ms: the time.
    """
    at_ms = min(call.deadline_ms - state.policy.answer_margin_ms, call.next_retry_ms())
    if now_ms < patience_end_ms(state, call):
        at_ms = min(at_ms, patience_end_ms(state, call))
    if state.policy.hedging:
        delay_ms = _delay_ms(state, call)
        if now_ms > call.started_ms:
            delay_ms = max(state.policy.least_hedge_ms, delay_ms / _LOOKS_IN_DELAY)
        at_ms = min(at_ms, now_ms + delay_ms)
    state.open.wake(call, at_ms)


def _delay_ms(state: QueryState, call: Call) -> float:
    share = call.request.traffic_class.hedge_quantile
    delay_ms = state.window(call).quantile(share, state.policy.first_hedge_ms)
    return max(state.policy.least_hedge_ms, delay_ms)


def _note_overdue(state: QueryState, attempt: Attempt, waited_ms: float, now_ms: float) -> None:
    if not attempt.overdue:
        attempt.overdue = True
        state.scores.on_overdue(attempt.upstream_id, waited_ms, now_ms)
