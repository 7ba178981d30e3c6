"""Handling of the outcome of one sub-query: its hits, or why there are none."""

from rhubarbhinge.query._completion import cancel_outstanding, finish_if_decided
from rhubarbhinge.query._effects import Effect
from rhubarbhinge.query._query import Attempt, Part, Query
from rhubarbhinge.query._retrying import resend
from rhubarbhinge.query._shared_query_state import SharedQueryState
from rhubarbhinge.query._sub_answer import parse_hits
from rhubarbhinge.query._sub_outcomes import FAILURES, MISSING_REASONS, NOT_EXTRA_LOAD
from rhubarbhinge.wire import SubCode


def handle_outcome(
    state: SharedQueryState,
    query: Query,
    part: Part,
    attempt: Attempt,
    outcome: int,
    body: bytes,
    now_ms: float,
) -> list[Effect]:
    """Handle the outcome of an attempt at an open part.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param attempt: the attempt, no longer outstanding.
    :param outcome: its outcome, a value of :class:`SubCode`.
    :param body: the searcher's answer, if any.
    :param now_ms: current time in ms.
    :returns: the query's answer when this ends it, else an empty list.
    """
    if outcome == SubCode.ANSWERED:
        hits = parse_hits(body, query, part)
        if hits is not None:
            return _accept_hits(state, query, part, attempt, hits, now_ms)
        outcome = SubCode.BROKEN
    if outcome in FAILURES:
        state.scores.on_failure(attempt.upstream_id, now_ms)
    if outcome == SubCode.WRONG_RECEIVER:
        part.misdirected += 1
        _allow_new_owner(state, part, attempt)
    part.missing_reason = MISSING_REASONS.get(outcome, "broken")
    refundable = attempt.extra and outcome in NOT_EXTRA_LOAD
    if not part.attempts:
        return resend(state, query, part, outcome, refundable, now_ms)
    if refundable:
        state.budget(query).refund()
    return []


def _accept_hits(
    state: SharedQueryState,
    query: Query,
    part: Part,
    attempt: Attempt,
    hits: list[dict],
    now_ms: float,
) -> list[Effect]:
    latency_ms = now_ms - attempt.sent_ms
    state.scores.on_latency(attempt.upstream_id, latency_ms, now_ms)
    state.latency_histogram(query).observe(latency_ms)
    query.hits += hits
    query.covered_records += part.key_range.records
    query.close_part(part)
    cancel_outstanding(state, query, part, now_ms)
    return finish_if_decided(state, query, now_ms)


def _allow_new_owner(state: SharedQueryState, part: Part, attempt: Attempt) -> None:
    target = state.relay_of(attempt.upstream_id)
    if target is not None and target != attempt.target:
        part.tried.discard(attempt.upstream_id)
