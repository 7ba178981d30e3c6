"""Ask again for parts whose last attempt ended without an answer, or give them up."""

from rhubarbhinge.query._beginning import begin
from rhubarbhinge.query._call import Call, Part
from rhubarbhinge.query._effects import Effect
from rhubarbhinge.query._ending import cancel_all, settle
from rhubarbhinge.query._querystate import QueryState
from rhubarbhinge.query._sending import send, send_extra
from rhubarbhinge.query._subendings import NOT_LOAD, WORTH_WAITING
from rhubarbhinge.query._waiting import wait_for_link, wait_for_owner, wait_for_room
from rhubarbhinge.wire import SubCode


def resend(
    state: QueryState, call: Call, part: Part, outcome: int, unspent: bool, now_ms: float
) -> list[Effect]:
    """Ask for a part again, where that is of use; else give it up.

    :param state: the entry's state.
    :param call: the query.
    :param part: the part, with nothing outstanding.
    :param outcome: how its last attempt ended.
    :param unspent: whether that attempt took a token of the budget and was not run.
    :param now_ms: the time.
    :returns: the query's answer when this ends it, or nothing.
    """
    send_again = _redirect if outcome in NOT_LOAD else _retry
    if send_again(state, call, part, unspent, now_ms):
        return []
    if outcome == SubCode.RANGE_MOVED and _split(state, call, part, now_ms):
        return settle(state, call, now_ms)
    if outcome == SubCode.WRONG_RECEIVER and wait_for_owner(state, call, part, now_ms):
        part.holds_token = unspent
        return []
    if unspent:
        state.budget(call).give_back()
    if outcome == SubCode.VERSION_GONE and _better_version(state, call, part, now_ms):
        return _replan(state, call, now_ms)
    if outcome in WORTH_WAITING and wait_for_room(state, call, part, now_ms):
        return []
    call.lose(part)
    return settle(state, call, now_ms)


def resend_waiting(state: QueryState, call: Call, now_ms: float) -> list[Effect]:
    """Ask again for the parts that have waited long enough; any replica may be asked.

    :param state: the entry's state.
    :param call: the query.
    :param now_ms: the time.
    :returns: the query's answer when parts that were given up end it, or nothing.
    """
    lost = len(call.lost)
    for part in call.parts.values():
        if part.waits() and part.retry_at_ms <= now_ms:
            _resend_one(state, call, part, now_ms)
    return settle(state, call, now_ms) if len(call.lost) > lost else []


def lose_relay(
    state: QueryState, call: Call, part: Part, relay: str, now_ms: float
) -> list[Effect]:
    """Ask elsewhere for what a lost relay was sent of a part.

    :param state: the entry's state.
    :param call: the query; one that has ended is not asked for again.
    :param part: the part.
    :param relay: the relay's node name.
    :param now_ms: the time.
    :returns: the query's answer when this ends it, or nothing.
    """
    lost = [number for number, attempt in part.attempts.items() if attempt.target.name == relay]
    for number in lost:
        state.scores.on_ended(part.attempts.pop(number).upstream_id)
    if not lost or part.done or part.attempts or not state.open.is_open(call):
        return []
    part.why = "lost"
    if _redirect(state, call, part, False, now_ms) or wait_for_owner(state, call, part, now_ms):
        return []
    call.lose(part)
    return settle(state, call, now_ms)


def _redirect(state: QueryState, call: Call, part: Part, unspent: bool, now_ms: float) -> bool:
    sent = send(state, call, part, now_ms, extra=unspent)
    call.redirects += sent
    return sent


def _retry(state: QueryState, call: Call, part: Part, _unspent: bool, now_ms: float) -> bool:
    sent = send_extra(state, call, part, now_ms)
    call.retries += sent
    return sent


def _resend_one(state: QueryState, call: Call, part: Part, now_ms: float) -> None:
    part.tried.clear()
    if part.retry_is_load:
        if send_extra(state, call, part, now_ms):
            part.retry_at_ms = 0.0
            call.retries += 1
        else:
            part.retry_at_ms = now_ms + state.policy.least_wait_ms
    elif send(state, call, part, now_ms, extra=part.holds_token):
        part.retry_at_ms = 0.0
        part.holds_token = False
        _count_resent(state, call, part)
    elif not wait_for_link(state, call, part, now_ms):
        call.lose(part)


def _count_resent(state: QueryState, call: Call, part: Part) -> None:
    if part.sent > 1:
        call.redirects += 1
        return
    call.base += 1
    state.budget(call).earn(1, call.request.traffic_class.extra_load)


def _split(state: QueryState, call: Call, part: Part, now_ms: float) -> bool:
    tile = part.tile
    tiles = state.catalog.tiles(call.request.collection, call.plan.version, tile.lo, tile.hi)
    if sum(inner.records for inner in tiles) != tile.records or tiles == (tile,):
        return False
    call.close_part(part)
    call.redirects += len(tiles)
    for inner in tiles:
        inner_part = call.add_part(inner)
        if not send(state, call, inner_part, now_ms, extra=False):
            call.lose(inner_part)
    return True


def _better_version(state: QueryState, call: Call, part: Part, now_ms: float) -> bool:
    spent_ms = now_ms - call.started_ms
    left_ms = call.deadline_ms - state.policy.answer_margin_ms - now_ms
    rest = call.coverage_without(part)
    if spent_ms > left_ms and rest >= call.request.traffic_class.least_coverage:
        return False
    gone = call.gone_versions | {call.plan.version}
    plan = state.catalog.plan(call.request.collection, gone)
    return bool(plan.tiles) and plan.reachable_share() > rest


def _replan(state: QueryState, call: Call, now_ms: float) -> list[Effect]:
    call.gone_versions |= {call.plan.version}
    cancel_all(state, call, now_ms)
    return begin(state, call, now_ms)
