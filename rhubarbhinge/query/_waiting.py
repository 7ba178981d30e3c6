"""Let a part without an outstanding attempt wait, where a replica may take it a little later."""

from rhubarbhinge.query._call import Call, Part
from rhubarbhinge.query._querystate import QueryState
from rhubarbhinge.query._sending import attempts_left


def wait_for_room(state: QueryState, call: Call, part: Part, now_ms: float) -> bool:
    """Wait for as long as the last refusal said; the retry counts as load.

    :param state: the entry's state.
    :param call: the query.
    :param part: the part.
    :param now_ms: the time.
    :returns: False when it is not worth waiting.
    """
    wait_ms = max(state.policy.least_wait_ms, part.wait_ms)
    part.retry_is_load = True
    return _wait(state, call, part, wait_ms, now_ms)


def wait_for_owner(state: QueryState, call: Call, part: Part, now_ms: float) -> bool:
    """Wait until entries and relays agree again on who owns the part's replicas.

    Nothing has run, or what ran was cancelled with its relay's link, so that the retry is no load.
    The waits grow, as the time until they agree is that of a link that is opened anew.

    :param state: the entry's state.
    :param call: the query.
    :param part: the part.
    :param now_ms: the time.
    :returns: False when it is not worth waiting.
    """
    policy = state.policy
    wait_ms = min(policy.most_wait_for_owner_ms, policy.least_wait_ms * 2**part.owner_waits)
    part.owner_waits += 1
    part.retry_is_load = False
    return _wait(state, call, part, wait_ms, now_ms)


def wait_for_link(state: QueryState, call: Call, part: Part, now_ms: float) -> bool:
    """Wait for the link to a relay of a replica that takes work.

    :param state: the entry's state.
    :param call: the query.
    :param part: the part.
    :param now_ms: the time.
    :returns: False when no relay is expected.
    """
    usable = filter(state.catalog.usable, part.tile.upstream_ids)
    is_expected = any(map(state.is_expected, usable))
    return is_expected and wait_for_owner(state, call, part, now_ms)


def _wait(state: QueryState, call: Call, part: Part, wait_ms: float, now_ms: float) -> bool:
    at_ms = now_ms + wait_ms
    in_time = at_ms < call.deadline_ms - 2 * state.policy.answer_margin_ms
    if not in_time or not attempts_left(state, part):
        return False
    part.retry_at_ms = at_ms
    state.open.wake(call, at_ms)
    return True
