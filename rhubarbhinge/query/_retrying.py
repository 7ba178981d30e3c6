"""Retries of parts whose last attempt ended without an answer."""

from rhubarbhinge.query._completion import cancel_all, finish_if_decided
from rhubarbhinge.query._effects import Effect
from rhubarbhinge.query._planning import plan_and_send
from rhubarbhinge.query._query import Part, Query
from rhubarbhinge.query._retry_waits import wait_after_refusal, wait_for_link, wait_for_owner
from rhubarbhinge.query._sending import send, send_extra
from rhubarbhinge.query._shared_query_state import SharedQueryState
from rhubarbhinge.query._sub_outcomes import NOT_EXTRA_LOAD, RETRYABLE
from rhubarbhinge.wire import SubCode


def resend(
    state: SharedQueryState, query: Query, part: Part, outcome: int, refundable: bool, now_ms: float
) -> list[Effect]:
    """Resend a part, replan, or schedule a retry; give the part up if none of these applies.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part, without an outstanding attempt.
    :param outcome: outcome of its last attempt.
    :param refundable: whether that attempt used a token of the budget and was not run.
    :param now_ms: current time in ms.
    :returns: the query's answer when this ends it, else an empty list.
    """
    send_again = _redirect if outcome in NOT_EXTRA_LOAD else _retry
    if send_again(state, query, part, refundable, now_ms):
        return []
    if outcome == SubCode.RANGE_MOVED and _split(state, query, part, now_ms):
        return finish_if_decided(state, query, now_ms)
    if outcome == SubCode.WRONG_RECEIVER and wait_for_owner(state, query, part, now_ms):
        part.retry_has_token = refundable
        return []
    if refundable:
        state.budget(query).refund()
    if outcome == SubCode.VERSION_GONE and _is_better_version_available(state, query, part, now_ms):
        return _replan(state, query, now_ms)
    if outcome in RETRYABLE and wait_after_refusal(state, query, part, now_ms):
        return []
    query.mark_missing(part)
    return finish_if_decided(state, query, now_ms)


def resend_waiting(state: SharedQueryState, query: Query, now_ms: float) -> list[Effect]:
    """Resend the parts whose planned retry is due; replicas that were tried may be asked again.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: current time in ms.
    :returns: the query's answer when giving up parts ends it, else an empty list.
    """
    lost = len(query.missing)
    for part in query.parts.values():
        if part.is_waiting() and part.retry_at_ms <= now_ms:
            _resend_part(state, query, part, now_ms)
    return finish_if_decided(state, query, now_ms) if len(query.missing) > lost else []


def resend_lost(
    state: SharedQueryState, query: Query, part: Part, relay: str, now_ms: float
) -> list[Effect]:
    """Resend a part whose outstanding attempts were at a relay that is lost.

    :param state: the entry's state.
    :param query: the query; its parts are not resent once it has ended.
    :param part: the part.
    :param relay: the relay's node name.
    :param now_ms: current time in ms.
    :returns: the query's answer when this ends it, else an empty list.
    """
    lost = [number for number, attempt in part.attempts.items() if attempt.target.name == relay]
    for number in lost:
        state.scores.on_ended(part.attempts.pop(number).upstream_id)
    if not lost or part.done or part.attempts or not state.open.is_open(query):
        return []
    part.missing_reason = "lost"
    if _redirect(state, query, part, False, now_ms) or wait_for_owner(state, query, part, now_ms):
        return []
    query.mark_missing(part)
    return finish_if_decided(state, query, now_ms)


def _redirect(
    state: SharedQueryState, query: Query, part: Part, refundable: bool, now_ms: float
) -> bool:
    sent = send(state, query, part, now_ms, extra=refundable)
    query.redirects += sent
    return sent


def _retry(
    state: SharedQueryState, query: Query, part: Part, _refundable: bool, now_ms: float
) -> bool:
    sent = send_extra(state, query, part, now_ms)
    query.retries += sent
    return sent


def _resend_part(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> None:
    part.tried.clear()
    if part.retry_is_extra_load:
        if send_extra(state, query, part, now_ms):
            part.retry_at_ms = 0.0
            query.retries += 1
        else:
            part.retry_at_ms = now_ms + state.policy.min_retry_wait_ms
    elif send(state, query, part, now_ms, extra=part.retry_has_token):
        part.retry_at_ms = 0.0
        part.retry_has_token = False
        _count_resent(state, query, part)
    elif not wait_for_link(state, query, part, now_ms):
        query.mark_missing(part)


def _count_resent(state: SharedQueryState, query: Query, part: Part) -> None:
    if part.sent > 1:
        query.redirects += 1
        return
    query.base += 1
    state.budget(query).credit(1, query.request.traffic_class.extra_load)


def _split(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    key_range = part.key_range
    ranges = state.catalog.split_range(
        query.request.collection, query.plan.version, key_range.lo, key_range.hi
    )
    if sum(inner.records for inner in ranges) != key_range.records or ranges == (key_range,):
        return False
    query.close_part(part)
    query.redirects += len(ranges)
    for inner in ranges:
        inner_part = query.add_part(inner)
        if not send(state, query, inner_part, now_ms, extra=False):
            query.mark_missing(inner_part)
    return True


def _is_better_version_available(
    state: SharedQueryState, query: Query, part: Part, now_ms: float
) -> bool:
    spent_ms = now_ms - query.started_ms
    left_ms = query.deadline_ms - state.policy.answer_margin_ms - now_ms
    rest = query.coverage_without(part)
    if spent_ms > left_ms and rest >= query.request.traffic_class.least_coverage:
        return False
    gone = query.gone_versions | {query.plan.version}
    plan = state.catalog.plan(query.request.collection, gone)
    return bool(plan.ranges) and plan.reachable_share() > rest


def _replan(state: SharedQueryState, query: Query, now_ms: float) -> list[Effect]:
    query.gone_versions |= {query.plan.version}
    cancel_all(state, query, now_ms)
    return plan_and_send(state, query, now_ms)
