"""Replica selection and sending of sub-queries."""

from rhubarbhinge.query._query import Attempt, Part, Query
from rhubarbhinge.query._relay_target import RelayTarget
from rhubarbhinge.query._shared_query_state import SharedQueryState

#: Number of distinct attempt numbers that a message can hold.
ATTEMPT_NUMBERS = 256


def send(state: SharedQueryState, query: Query, part: Part, now_ms: float, extra: bool) -> bool:
    """Send a part to the best replica that has not been tried.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: current time in ms.
    :param extra: whether the attempt uses a token of the budget.
    :returns: False when no untried replica is available, or all attempts are used.
    """
    chosen = _choose(state, part, now_ms)
    if chosen is None:
        return False
    upstream_id, target = chosen
    attempt = part.sent
    part.sent += 1
    part.tried.add(upstream_id)
    part.attempts[attempt] = Attempt(upstream_id, target, now_ms, extra)
    state.scores.on_sent(upstream_id)
    state.outbox.send(target, query, part, attempt, upstream_id)
    return True


def send_extra(state: SharedQueryState, query: Query, part: Part, now_ms: float) -> bool:
    """Send an extra sub-query for a part, if the budget allows it.

    :param state: the entry's state.
    :param query: the query.
    :param part: the part.
    :param now_ms: current time in ms.
    :returns: whether it was sent.
    """
    budgeted = state.policy.budgeted
    if budgeted and not state.budget(query).try_spend(now_ms):
        return False
    sent = send(state, query, part, now_ms, extra=budgeted)
    if budgeted and not sent:
        state.budget(query).refund()
    return sent


def has_attempts_left(state: SharedQueryState, part: Part) -> bool:
    """Return whether a part may be sent once more.

    :param state: the entry's state.
    :param part: the part.
    :returns: False when all its attempts are used.
    """
    counted = part.sent - part.misdirected
    return counted < state.policy.max_attempts and part.sent < ATTEMPT_NUMBERS


def _choose(state: SharedQueryState, part: Part, now_ms: float) -> tuple[int, RelayTarget] | None:
    if not has_attempts_left(state, part):
        return None
    found: list[tuple[float, int, RelayTarget]] = []
    for upstream_id in part.key_range.upstream_ids:
        if upstream_id in part.tried or not state.catalog.is_usable(upstream_id):
            continue
        target = state.relay_of(upstream_id)
        if target is not None:
            found.append((_score(state, upstream_id, now_ms), upstream_id, target))
    if not found:
        return None
    _, upstream_id, target = min(found, key=lambda row: row[0])
    return upstream_id, target


def _score(state: SharedQueryState, upstream_id: int, now_ms: float) -> float:
    if not state.policy.own_observation:
        return state.rng.random()
    score = state.scores.score(upstream_id, state.catalog.state(upstream_id), now_ms)
    return score * (1.0 + 0.1 * state.rng.random())
