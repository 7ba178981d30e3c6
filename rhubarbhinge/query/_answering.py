"""Take how one sub-query ended: its hits, or the reason that there are none."""

from rhubarbhinge.query._call import Attempt, Call, Part
from rhubarbhinge.query._effects import Effect
from rhubarbhinge.query._ending import cancel_rest, settle
from rhubarbhinge.query._querystate import QueryState
from rhubarbhinge.query._resending import resend
from rhubarbhinge.query._subanswer import checked_hits
from rhubarbhinge.query._subendings import FAILURES, NOT_LOAD, WHY
from rhubarbhinge.wire import SubCode


def take_ending(
    state: QueryState,
    call: Call,
    part: Part,
    attempt: Attempt,
    outcome: int,
    body: bytes,
    now_ms: float,
) -> list[Effect]:
    """Take the end of an attempt at a part that is open.

    :param state: the entry's state.
    :param call: the query.
    :param part: the part.
    :param attempt: the attempt, no longer outstanding.
    :param outcome: how it ended.
    :param body: the searcher's answer, if any.
    :param now_ms: the time.
    :returns: the query's answer when this ends it, or nothing.
    """
    if outcome == SubCode.ANSWERED:
        hits = checked_hits(body, call, part)
        if hits is not None:
            return _take_hits(state, call, part, attempt, hits, now_ms)
        outcome = SubCode.BROKEN
    if outcome in FAILURES:
        state.scores.on_failure(attempt.upstream_id, now_ms)
    if outcome == SubCode.WRONG_RECEIVER:
        part.misdirected += 1
        _forget_owner(state, part, attempt)
    part.why = WHY.get(outcome, "broken")
    unspent = attempt.extra and outcome in NOT_LOAD
    if not part.attempts:
        return resend(state, call, part, outcome, unspent, now_ms)
    if unspent:
        state.budget(call).give_back()
    return []


def _take_hits(
    state: QueryState, call: Call, part: Part, attempt: Attempt, hits: list[dict], now_ms: float
) -> list[Effect]:
    latency_ms = now_ms - attempt.sent_ms
    state.scores.on_latency(attempt.upstream_id, latency_ms, now_ms)
    state.window(call).observe(latency_ms)
    call.hits += hits
    call.covered_records += part.tile.records
    call.close_part(part)
    cancel_rest(state, call, part, now_ms)
    return settle(state, call, now_ms)


def _forget_owner(state: QueryState, part: Part, attempt: Attempt) -> None:
    target = state.relay_of(attempt.upstream_id)
    if target is not None and target != attempt.target:
        part.tried.discard(attempt.upstream_id)
