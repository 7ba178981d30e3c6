"""Chooses the searcher of a service that receives a request."""

import random
from collections.abc import Callable, Collection, Iterable

from rhubarbhinge.fleet._observed import ObservedSearcher
from rhubarbhinge.fleet._searcher import SearcherStart

REMOTE_DOMAIN_COST_MS = 8.0
"""Fixed cost of a searcher in another failure domain: two crossings of about 1 ms each, plus the
charge for cross-domain traffic."""
REMOTE_DOMAIN_COST_FACTOR = 1.2
"""Additional cost of another failure domain, as a multiple of the typical latency. Searchers of one
service differ by about this much, and a gain below the latency objective is of no use."""
SLOW_THRESHOLD = 1.6
"""A local searcher slower than usual by this factor has no advantage over remote ones. It would be
hedged each time, which consumes the retry budget of its shard, while a first request to a remote
searcher consumes none."""
COLD_FACTOR = 1.6
"""Slowdown assumed for a searcher just after its start if its published entry states none."""
REFUSAL_COST_FACTOR = 4.0
"""Cost of a certain refusal, as a multiple of the typical latency. A refusal consumes retry budget,
which is soon exhausted."""
JITTER = 0.1
"""Random fraction added to the cost, so that processes with the same information make different
choices."""
AVOIDED_COST_MS = 10_000.0
"""Makes searchers that were unresponsive or refused recently a last resort."""

CostFunction = Callable[[ObservedSearcher, float, float], float]
"""Returns the cost of a searcher, given the typical latency and the time; the lowest wins."""

MaySend = Callable[[ObservedSearcher, float], bool]
"""Tells whether a searcher may receive a request at a given time; others are skipped."""


def allow_all(observed: ObservedSearcher, now_ms: float) -> bool:
    """Allow every searcher to receive requests.

    :param observed: the searcher.
    :param now_ms: current time.
    :returns: always True.
    """
    return True


def expected_cost(
    domain: str,
    rng: random.Random,
    remote_cost_ms: float = REMOTE_DOMAIN_COST_MS,
    remote_cost_factor: float = REMOTE_DOMAIN_COST_FACTOR,
) -> CostFunction:
    """Create a cost function that prefers the searcher with the lowest expected latency.

    :param domain: failure domain of this process.
    :param rng: source of the jitter.
    :param remote_cost_ms: fixed cost of another failure domain.
    :param remote_cost_factor: additional cost of another failure domain, as a multiple of the
        typical latency.
    :returns: the cost function.
    """

    def cost(observed: ObservedSearcher, typical_ms: float, now_ms: float) -> float:
        searcher = observed.searcher
        slowness = observed.slowness(now_ms)
        own_ms = typical_ms * slowness
        if now_ms < observed.warm_at_ms:
            own_ms *= COLD_FACTOR
        open_requests = len(observed.started_ms)
        cost_ms = own_ms * (1.0 + open_requests / max(1, searcher.capacity))
        cost_ms += REFUSAL_COST_FACTOR * observed.refusal_share(now_ms) * typical_ms
        overdue_ms = observed.oldest_ms(now_ms) - 2.0 * own_ms
        if overdue_ms > 0:
            cost_ms += overdue_ms + own_ms
        if searcher.failure_domain != domain or slowness >= SLOW_THRESHOLD:
            cost_ms += remote_cost_ms + remote_cost_factor * typical_ms
        if observed.is_avoided(now_ms):
            cost_ms += AVOIDED_COST_MS
        return cost_ms * (1.0 + JITTER * rng.random())

    return cost


def best_searcher(
    candidates: Iterable[ObservedSearcher],
    cost_function: CostFunction,
    typical_ms: float,
    now_ms: float,
    tried: Collection[SearcherStart] = (),
    may_send: MaySend = allow_all,
) -> ObservedSearcher | None:
    """Choose the reachable searcher with the lowest cost.

    :param candidates: searchers of the service.
    :param cost_function: cost function.
    :param typical_ms: typical latency of such requests.
    :param now_ms: current time.
    :param tried: starts of searchers to exclude.
    :param may_send: tells which searchers may receive a request now.
    :returns: the searcher, or None if there is none.
    """
    best, lowest = None, float("inf")
    for observed in candidates:
        if not observed.usable or observed.is_down or observed.start in tried:
            continue
        cost = cost_function(observed, typical_ms, now_ms)
        if cost < lowest and may_send(observed, now_ms):
            best, lowest = observed, cost
    return best
