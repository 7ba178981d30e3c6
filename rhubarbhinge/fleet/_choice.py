"""Which searcher of a service gets a request."""

import random
from collections.abc import Callable, Collection, Iterable

from rhubarbhinge.fleet._observed import ObservedSearcher
from rhubarbhinge.fleet._searcher import SearcherStart

FAR_HANDICAP_MS = 8.0
"""Cost of another failure domain: two crossings of about 1 ms, and the bytes that are paid for."""
FAR_HANDICAP_SHARE = 1.2
"""What it costs besides, in usual delays: what is saved below the latency objective helps nobody,
and searchers of one service differ by as much."""
SLOW_FACTOR = 1.6
"""A near searcher that is so much slower than usual has no advantage over those of other failure
domains: it would be hedged each time, which spends the retry budget of its shard, while the first
request to another one is free."""
COLD_FACTOR = 1.6
"""How much slower a searcher is just after its start, where its entry does not tell."""
REFUSAL_FACTOR = 4.0
"""Cost of a sure refusal in usual delays: it spends the retry budget, which is soon used up."""
JITTER = 0.1
"""Random share of the cost, so that processes that know the same don't choose the same."""
SUSPECT_HANDICAP_MS = 10_000.0
"""Puts a searcher that was silent or refused behind all others, as a last resort."""

Preference = Callable[[ObservedSearcher, float, float], float]
"""Gives the cost of a searcher from the usual delay and the time; the least is chosen."""

MaySend = Callable[[ObservedSearcher, float], bool]
"""Tells whether a searcher may get a request at a time; what it refuses is passed over."""


def always(observed: ObservedSearcher, now_ms: float) -> bool:
    """Let every searcher get requests.

    :param observed: the searcher.
    :param now_ms: the time.
    :returns: true.
    """
    return True


def expected_cost(
    domain: str,
    rng: random.Random,
    far_handicap_ms: float = FAR_HANDICAP_MS,
    far_handicap_share: float = FAR_HANDICAP_SHARE,
) -> Preference:
    """Make the preference for the searcher that is expected to answer first.

    :param domain: failure domain of this process.
    :param rng: spreads the choice.
    :param far_handicap_ms: cost of another failure domain.
    :param far_handicap_share: what it costs besides, in usual delays.
    :returns: the preference.
    """

    def cost(observed: ObservedSearcher, typical_ms: float, now_ms: float) -> float:
        searcher = observed.searcher
        slowness = observed.slowness(now_ms)
        own_ms = typical_ms * slowness
        if now_ms < observed.warm_at_ms:
            own_ms *= COLD_FACTOR
        open_requests = len(observed.started_ms)
        cost_ms = own_ms * (1.0 + open_requests / max(1, searcher.capacity))
        cost_ms += REFUSAL_FACTOR * observed.refusal_share(now_ms) * typical_ms
        overdue_ms = observed.oldest_ms(now_ms) - 2.0 * own_ms
        if overdue_ms > 0:
            cost_ms += overdue_ms + own_ms
        if searcher.failure_domain != domain or slowness >= SLOW_FACTOR:
            cost_ms += far_handicap_ms + far_handicap_share * typical_ms
        if observed.is_avoided(now_ms):
            cost_ms += SUSPECT_HANDICAP_MS
        return cost_ms * (1.0 + JITTER * rng.random())

    return cost


def best_searcher(
    candidates: Iterable[ObservedSearcher],
    preference: Preference,
    typical_ms: float,
    now_ms: float,
    tried: Collection[SearcherStart] = (),
    may_send: MaySend = always,
) -> ObservedSearcher | None:
    """Choose the searcher with the least cost among those that can be reached.

    :param candidates: the searchers of a service.
    :param preference: gives the cost of each.
    :param typical_ms: the usual delay of such requests.
    :param now_ms: the time.
    :param tried: starts of searchers that are left out.
    :param may_send: tells which may get a request now.
    :returns: the searcher, or None when there is none.
    """
    best, least = None, float("inf")
    for observed in candidates:
        if not observed.usable or observed.is_down or observed.start in tried:
            continue
        cost = preference(observed, typical_ms, now_ms)
        if cost < least and may_send(observed, now_ms):
            best, least = observed, cost
    return best
