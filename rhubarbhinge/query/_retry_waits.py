"""Let a part without an outstanding attempt wait, where a replica may take it a little later."""

from rhubarbhinge.query._query import Part, Query
from rhubarbhinge.query._sending import has_attempts_left
from rhubarbhinge.query._shared_query_state import SharedQueryState


def wait_after_refusal(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    """Wait for as long as the last refusal said; the retry counts as load.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: the time.
    :returns: False when it is not worth waiting.
    """
    wait_ms = max(state.policy.min_retry_wait_ms, part.wait_ms)
    part.retry_is_extra_load = True
    return _schedule_retry(state, query, part, wait_ms, now_ms)


def wait_for_owner(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    """Wait until entries and relays agree again on who owns the part's replicas.

    Nothing has run, or what ran was cancelled with its relay's link, so that the retry is no load.
    The waits grow, as the time until they agree is that of a link that is opened anew.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: the time.
    :returns: False when it is not worth waiting.
    """
    policy = state.policy
    wait_ms = min(policy.max_owner_wait_ms, policy.min_retry_wait_ms * 2**part.owner_waits)
    part.owner_waits += 1
    part.retry_is_extra_load = False
    return _schedule_retry(state, query, part, wait_ms, now_ms)


def wait_for_link(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    """Wait for the link to a relay of a replica that takes work.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: the time.
    :returns: False when no relay is expected.
    """
    usable = filter(state.catalog.usable, part.key_range.upstream_ids)
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
