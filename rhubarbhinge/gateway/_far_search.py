"""Which shards of a search are left to other entries.

Those that have no searcher in this failure domain are left to an entry near them, which knows best
how they fare. Of many shards, each entry takes a part, so that neither the processor nor the link
of one VM holds up the whole search.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

from rhubarbhinge.delegation import ANSWER_MARGIN_MS, Answer, Ask, Delegate, Delegates
from rhubarbhinge.fleet import Fleet
from rhubarbhinge.forward import CallContext, CallerRequest
from rhubarbhinge.gather import FarPart, FarSearch, GatherTerms, GrantAttempts

MOST_SHARDS = 15
"""One entry asks so many shards of a search; more are split among others, so that neither processor
nor link of one small VM takes most of a short latency objective."""


def far_search(
    failure_domain: str,
    context: CallContext,
    delegates: Delegates,
    rng: random.Random,
) -> FarSearch:
    """Leave shards without a searcher in this failure domain to other entries, and split many.

    :param failure_domain: that of this entry.
    :param context: what requests share.
    :param delegates: asks other entries.
    :param rng: spreads the asks over the domains.
    :returns: how other entries are asked.
    """

    def shards_for(
        request: CallerRequest, terms: GatherTerms, served: Iterable[str]
    ) -> dict[str, list[str]]:
        served = list(served)
        far = _far_domains(context.fleet, failure_domain, served)
        near = [service for service in served if service not in far]
        by_address = {}
        while far:
            domain, services = _largest_group(far, rng)
            for service in services:
                del far[service]
            addresses = delegates.choose(domain, _parts(services))
            by_address.update(_split(services, addresses))
        others = delegates.choose(failure_domain, _parts(near) - 1)
        # The first part stays here.
        by_address.update(_split(near, ["", *others]))
        by_address.pop("", None)
        return by_address

    def ask(
        address: str,
        request: CallerRequest,
        terms: GatherTerms,
        services: list[str],
        on_part: Callable[[FarPart | None], None],
        grant: GrantAttempts,
    ) -> Delegate:
        now_ms = context.timers.now_ms()
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
            answer_in_ms=max(0.0, terms.answer_by_ms - now_ms - ANSWER_MARGIN_MS),
            left_ms=max(0.0, terms.call.deadline_ms - now_ms),
        )
        return delegates.ask(address, message, lambda answer: on_part(_part(answer)), grant)

    return FarSearch(shards_for, ask)


def _far_domains(fleet: Fleet, failure_domain: str, services: Iterable[str]) -> dict[str, set[str]]:
    """Give the domains of the searchers of those services that have none in this domain."""
    far = {}
    for service in services:
        domains = {
            one.searcher.failure_domain
            for one in fleet.of_service(service)
            if one.usable and not one.is_down
        }
        if failure_domain not in domains:
            far[service] = domains
    return far


def _largest_group(far: dict[str, set[str]], rng: random.Random) -> tuple[str, list[str]]:
    """Choose the domain that has searchers of most services, one at random among equals."""
    counts = Counter(domain for domains in far.values() for domain in domains)
    domain = max(counts, key=lambda name: (counts[name], rng.random()))
    return domain, [service for service, domains in far.items() if domain in domains]


def _parts(services: list[str]) -> int:
    """Tell among how many entries shards are split."""
    return max(1, math.ceil(len(services) / MOST_SHARDS))


def _split(services: list[str], addresses: list[str]) -> dict[str, list[str]]:
    """Split shards evenly among addresses."""
    return {
        address: services[place :: len(addresses)]
        for place, address in enumerate(addresses)
        if services[place :: len(addresses)]
    }


def _part(answer: Answer | None) -> FarPart | None:
    if answer is None:
        return None
    return FarPart(
        answer.services,
        answer.signatures,
        answer.untried,
        answer.pending,
        answer.may_have_run,
        answer.body,
    )
