"""Which shards of a search are left to entries of other failure domains."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from rhubarbhinge.delegation import Answer, Ask, Delegate, Delegates
from rhubarbhinge.fleet import best_searcher
from rhubarbhinge.forward import CallerRequest, Surroundings
from rhubarbhinge.gather import FarPart, FarSearch, GatherTerms

LEAST_SHARDS = 2
"""One shard costs as many bytes by another entry as without."""
FAR_MARGIN_MS = 6.0
"""Another entry answers so much sooner: its reply crosses the domains, and both take some CPU."""


def far_search(
    failure_domain: str,
    surroundings: Surroundings,
    delegates: Delegates,
) -> FarSearch:
    """Leave shards whose best searcher is in another failure domain to an entry there.

    :param failure_domain: that of this entry.
    :param surroundings: what requests share.
    :param delegates: asks other entries.
    :returns: how other entries are asked.
    """

    def shards_for(
        request: CallerRequest, terms: GatherTerms, served: Iterable[str]
    ) -> dict[str, list[str]]:
        now_ms = surroundings.timers.now_ms()
        by_domain: dict[str, list[str]] = defaultdict(list)
        for service in served:
            best = best_searcher(
                surroundings.fleet.of(service),
                surroundings.preference,
                terms.typical_ms,
                now_ms,
            )
            if best is not None and best.searcher.failure_domain != failure_domain:
                by_domain[best.searcher.failure_domain].append(service)
        by_address = {}
        for domain, services in by_domain.items():
            address = delegates.choose(domain) if len(services) >= LEAST_SHARDS else None
            if address is not None:
                by_address[address] = services
        return by_address

    def ask(
        address: str,
        request: CallerRequest,
        terms: GatherTerms,
        services: list[str],
        on_part: Callable[[FarPart | None], None],
    ) -> Delegate:
        now_ms = surroundings.timers.now_ms()
        message = Ask(
            number=0,
            request_id=request.id,
            head=request.head,
            body=request.body,
            route=terms.route_name,
            services=tuple(services),
            top_k=terms.shards.top_k,
            priority=terms.call.priority,
            max_attempts=terms.call.max_attempts,
            target_latency_ms=terms.target_latency_ms,
            answer_in_ms=max(0.0, terms.answer_by_ms - now_ms - FAR_MARGIN_MS),
            left_ms=max(0.0, terms.call.deadline_ms - now_ms),
        )
        return delegates.ask(address, message, lambda answer: on_part(_part(answer)))

    return FarSearch(shards_for, ask)


def _part(answer: Answer | None) -> FarPart | None:
    if answer is None:
        return None
    return FarPart(
        answer.services, answer.signatures, answer.untried, answer.may_have_run, answer.body
    )
