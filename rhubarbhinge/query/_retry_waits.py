"""Delayed retries of parts that no replica accepts at the moment."""

from rhubarbhinge.query._query import Part, Query
from rhubarbhinge.query._sending import has_attempts_left
from rhubarbhinge.query._shared_query_state import SharedQueryState


def wait_after_refusal(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    """Schedule a retry after the delay that the last refusal asked for; it is extra load.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: current time in ms.
    :returns: False when no attempt is left, or the retry would be too close to the deadline.
    """
    wait_ms = max(state.policy.min_retry_wait_ms, part.wait_ms)
    part.retry_is_extra_load = True
    return _schedule_retry(state, query, part, wait_ms, now_ms)


def wait_for_owner(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    """Schedule a retry for when entries and relays agree again on the owner of a replica.

    The retry is no extra load, as the part has not run, or was cancelled with its relay's link.
    The delay grows exponentially, as agreement takes as long as opening a new link.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: current time in ms.
    :returns: False when no attempt is left, or the retry would be too close to the deadline.
    """
    policy = state.policy
    wait_ms = min(policy.max_owner_wait_ms, policy.min_retry_wait_ms * 2**part.owner_waits)
    part.owner_waits += 1
    part.retry_is_extra_load = False
    return _schedule_retry(state, query, part, wait_ms, now_ms)


def wait_for_link(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    """Schedule a retry for when a usable replica of a part has a relay again.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: current time in ms.
    :returns: False when no relay is expected soon, or no retry can be scheduled.
    """
    usable = filter(state.catalog.is_usable, part.key_range.upstream_ids)
    is_expected = any(map(state.is_expected, usable))
    return is_expected and wait_for_owner(state, query, part, now_ms)


def _schedule_retry(
    state: SharedQueryState, query: Query, part: Part, wait_ms: float, now_ms: float
) -> bool:
    at_ms = now_ms + wait_ms
    in_time = at_ms < query.deadline_ms - 2 * state.policy.answer_margin_ms
    if not in_time or not has_attempts_left(state, part):
        return False
    part.retry_at_ms = at_ms
    state.open.schedule_check(query, at_ms)
    return True
