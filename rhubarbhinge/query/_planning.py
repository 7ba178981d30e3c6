"""Planning of queries, also on another index version, and sending of their parts."""

from rhubarbhinge.query._completion import finish_if_decided
from rhubarbhinge.query._effects import Effect
from rhubarbhinge.query._query import Query
from rhubarbhinge.query._retry_waits import wait_for_link
from rhubarbhinge.query._sending import send
from rhubarbhinge.query._shared_query_state import SharedQueryState


def plan_and_send(state: SharedQueryState, query: Query, now_ms: float) -> list[Effect]:
    """Plan a query on the best available index version and send its parts.

    :param state: the entry's state.
    :param query: the query.
    :param now_ms: current time in ms.
    :returns: the query's answer if it can be decided at once, else an empty list.
    """
    plan = state.catalog.plan(query.request.collection, query.gone_versions)
    query.set_plan(plan)
    for key_range in plan.ranges:
        query.add_part(key_range)
    return finish_if_decided(state, query, now_ms) or _send_all(state, query, now_ms)


def _send_all(state: SharedQueryState, query: Query, now_ms: float) -> list[Effect]:
    sent = 0
    for part in query.parts.values():
        if send(state, query, part, now_ms, extra=False):
            sent += 1
        elif not wait_for_link(state, query, part, now_ms):
            query.mark_missing(part)
    _count_sent(state, query, sent)
    return finish_if_decided(state, query, now_ms)


def _count_sent(state: SharedQueryState, query: Query, sent: int) -> None:
    if query.base:
        query.retries += sent
        return
    query.base = sent
    state.budget(query).credit(sent, query.request.traffic_class.extra_load)
