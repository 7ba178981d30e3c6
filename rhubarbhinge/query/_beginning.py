"""Begin queries, or begin them anew on another version: plan, and send every part."""

from rhubarbhinge.query._call import Call
from rhubarbhinge.query._effects import Effect
from rhubarbhinge.query._ending import settle
from rhubarbhinge.query._querystate import QueryState
from rhubarbhinge.query._sending import send
from rhubarbhinge.query._waiting import wait_for_link


def begin(state: QueryState, call: Call, now_ms: float) -> list[Effect]:
    """Plan a query on the best version that is not gone, and send its parts.

    :param state: the entry's state.
    :param call: the query.
    :param now_ms: the time.
    :returns: its answer when nothing can be asked, or nothing.
    """
    plan = state.catalog.plan(call.request.collection, call.gone_versions)
    call.begin(plan)
    for tile in plan.tiles:
        call.add_part(tile)
    return settle(state, call, now_ms) or _send_all(state, call, now_ms)


def _send_all(state: QueryState, call: Call, now_ms: float) -> list[Effect]:
    sent = 0
    for part in call.parts.values():
        if send(state, call, part, now_ms, extra=False):
            sent += 1
        elif not wait_for_link(state, call, part, now_ms):
            call.lose(part)
    _count_sent(state, call, sent)
    return settle(state, call, now_ms)


def _count_sent(state: QueryState, call: Call, sent: int) -> None:
    if call.base:
        call.retries += sent
        return
    call.base = sent
    state.budget(call).earn(sent, call.request.traffic_class.extra_load)
