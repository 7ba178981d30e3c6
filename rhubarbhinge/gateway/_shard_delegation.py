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
from rhubarbhinge.forward import CallerRequest, Surroundings
from rhubarbhinge.gather import GatherTerms, GrantAttempts, PartialResult, ShardDelegation

MAX_SHARDS_PER_ENTRY = 15
"""One entry asks so many shards of a search; more are split among others, so that neither processor
nor link of one small VM takes most of a short latency objective."""


def shard_delegation(
    failure_domain: str,
    surroundings: Surroundings,
    delegates: Delegates,
    rng: random.Random,
) -> ShardDelegation:
    """Leave shards without a searcher in this failure domain to other entries, and split many.

    :param failure_domain: that of this entry.
    :param surroundings: what requests share.
    :param delegates: asks other entries.
    :param rng: spreads the asks over the domains.
    :returns: how other entries are asked.
    """

    def shards_for(
        request: CallerRequest, terms: GatherTerms, reachable: Iterable[str]
    ) -> dict[str, list[str]]:
        reachable = list(reachable)
        remote = _remote_domains(surroundings.fleet, failure_domain, reachable)
        local = [service for service in reachable if service not in remote]
        by_address = {}
        while remote:
            domain, services = _largest_group(remote, rng)
            for service in services:
                del remote[service]
            addresses = delegates.choose(domain, _entry_count(services))
            by_address.update(_split_evenly(services, addresses))
        others = delegates.choose(failure_domain, _entry_count(local) - 1)
        # The first part stays here.
        by_address.update(_split_evenly(local, ["", *others]))
        by_address.pop("", None)
        return by_address

    def ask(
        address: str,
        request: CallerRequest,
        terms: GatherTerms,
        services: list[str],
        on_part: Callable[[PartialResult | None], None],
        grant: GrantAttempts,
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
            answer_in_ms=max(0.0, terms.answer_by_ms - now_ms - ANSWER_MARGIN_MS),
            left_ms=max(0.0, terms.call.deadline_ms - now_ms),
        )
        return delegates.ask(
            address, message, lambda answer: on_part(_partial_result(answer)), grant
        )

    return ShardDelegation(shards_for, ask)


def _remote_domains(
    fleet: Fleet, failure_domain: str, services: Iterable[str]
) -> dict[str, set[str]]:
    """Give the domains of the searchers of those services that have none in this domain."""
    remote = {}
    for service in services:
        domains = {
            one.searcher.failure_domain
            for one in fleet.of(service)
            if one.usable and not one.is_down
        }
        if failure_domain not in domains:
            remote[service] = domains
    return remote


def _largest_group(remote: dict[str, set[str]], rng: random.Random) -> tuple[str, list[str]]:
    """Choose the domain that has searchers of most services, one at random among equals."""
    counts = Counter(domain for domains in remote.values() for domain in domains)
    domain = max(counts, key=lambda name: (counts[name], rng.random()))
    return domain, [service for service, domains in remote.items() if domain in domains]


def _entry_count(services: list[str]) -> int:
    """Tell among how many entries shards are split."""
    return max(1, math.ceil(len(services) / MAX_SHARDS_PER_ENTRY))


def _split_evenly(services: list[str], addresses: list[str]) -> dict[str, list[str]]:
    """Split shards evenly among addresses."""
    return {
        address: services[index :: len(addresses)]
        for index, address in enumerate(addresses)
        if services[index :: len(addresses)]
    }


def _partial_result(answer: Answer | None) -> PartialResult | None:
    if answer is None:
        return None
    return PartialResult(
        answer.services,
        answer.signatures,
        answer.untried,
        answer.pending,
        answer.may_have_run,
        answer.body,
    )
