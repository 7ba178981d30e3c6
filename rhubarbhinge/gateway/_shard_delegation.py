"""Selection of the shards of a search that are delegated to other entries.

Shards without a searcher in this failure domain are delegated to an entry near their searchers,
which has the best information about them. Large numbers of shards are divided among several
entries, so that neither the processor nor the network link of one VM delays the whole search: by
capacity in failure domains whose entries are known to differ in it, and evenly in others.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

from msgspec.structs import replace

from rhubarbhinge.delegation import (
    REPLY_MARGIN_MS,
    DelegateCall,
    DelegateClient,
    DelegateReply,
    DelegateRequest,
    can_delegate,
    request_fits,
)
from rhubarbhinge.fleet import Fleet
from rhubarbhinge.forward import CallContext, CallerRequest
from rhubarbhinge.gateway._capacity_delegation import (
    OWN_ADDRESS,
    CapacityDelegation,
    ShardCounts,
)
from rhubarbhinge.gather import GatherTerms, GrantAttempts, PartialResult, ShardDelegation
from rhubarbhinge.telemetry import log_event

MAX_SHARDS_PER_ENTRY = 15
"""Number of shards per entry above which a search is divided among more entries, if there are any.
With more shards, the processor or the network link of one small VM would use up most of a short
latency objective."""


def shard_delegation(
    failure_domain: str,
    context: CallContext,
    delegate_client: DelegateClient,
    rng: random.Random,
    by_capacity: CapacityDelegation | None = None,
    counts: ShardCounts | None = None,
) -> ShardDelegation:
    """Create the delegation of shards to entries in this and other failure domains.

    :param failure_domain: failure domain of this entry.
    :param context: state shared by all requests.
    :param delegate_client: sends requests for delegated shards to other entries.
    :param rng: breaks ties between failure domains.
    :param by_capacity: divides shards among entries of unequal capacity; None to divide them evenly
        in all failure domains.
    :param counts: counts the shards delegated and kept.
    :returns: the delegation.
    """

    counts = ShardCounts() if counts is None else counts

    def divide(domain: str, services: list[str], terms: GatherTerms) -> dict[str, list[str]]:
        if by_capacity is not None and by_capacity.applies_to(domain):
            return by_capacity.divide(domain, services, terms.route_name)
        if domain != failure_domain:
            return _split_evenly(services, delegate_client.choose(domain, _entry_count(services)))
        others = delegate_client.choose(domain, _entry_count(services) - 1)
        # This entry keeps the first part.
        return _split_evenly(services, [OWN_ADDRESS, *others])

    def shards_for(
        request: CallerRequest, terms: GatherTerms, reachable: Iterable[str]
    ) -> dict[str, list[str]]:
        reachable = list(reachable)
        remote = _remote_domains(context.fleet, failure_domain, reachable)
        local = [service for service in reachable if service not in remote]
        by_address = {}
        while remote:
            domain, services = _largest_group(remote, rng)
            for service in services:
                del remote[service]
            by_address.update(divide(domain, services, terms))
        by_address.update(divide(failure_domain, local, terms))
        by_address.pop(OWN_ADDRESS, None)
        delegated = sum(len(services) for services in by_address.values())
        counts.delegated += delegated
        counts.kept += len(reachable) - delegated
        return by_address

    def send(
        address: str,
        request: CallerRequest,
        terms: GatherTerms,
        services: list[str],
        on_part: Callable[[PartialResult | None], None],
        grant: GrantAttempts,
    ) -> DelegateCall:
        now_ms = context.timers.now_ms()
        message = DelegateRequest(
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
            reply_after_ms=max(0.0, terms.answer_by_ms - now_ms - REPLY_MARGIN_MS),
            left_ms=max(0.0, terms.call.deadline_ms - now_ms),
        )

        def on_reply(reply: DelegateReply | None) -> None:
            if by_capacity is not None and reply is not None and reply.services:
                by_capacity.on_part(terms.route_name, len(reply.body))
            on_part(_partial_result(reply))

        return delegate_client.send(address, message, on_reply, grant)

    if by_capacity is None:
        return ShardDelegation(shards_for, send)
    return ShardDelegation(shards_for, send, by_capacity.capacity_label)


def without_long_searches(delegation: ShardDelegation) -> ShardDelegation:
    """Restrict a delegation to searches that fit into messages between entries.

    :param delegation: the delegation.
    :returns: a delegation that delegates no shards of longer searches.
    """

    def shards_for(
        request: CallerRequest, terms: GatherTerms, reachable: Iterable[str]
    ) -> dict[str, list[str]]:
        if can_delegate(request, terms.shards.top_k):
            return delegation.shards_for(request, terms, reachable)
        # Searches for many records are not logged, as that is a property of their route.
        if not request_fits(request):
            log_event(
                "search-not-delegated",
                request=request.id,
                route=terms.route_name,
                body_bytes=len(request.body),
            )
        return {}

    return replace(delegation, shards_for=shards_for)


def _remote_domains(
    fleet: Fleet, failure_domain: str, services: Iterable[str]
) -> dict[str, set[str]]:
    """Return the failure domains of the searchers of each service without one in this domain."""
    remote = {}
    for service in services:
        domains = {
            one.searcher.failure_domain
            for one in fleet.of_service(service)
            if one.usable and not one.is_down
        }
        if failure_domain not in domains:
            remote[service] = domains
    return remote


def _largest_group(remote: dict[str, set[str]], rng: random.Random) -> tuple[str, list[str]]:
    """Choose the domain with searchers of the most services, with ties broken at random."""
    counts = Counter(domain for domains in remote.values() for domain in domains)
    domain = max(counts, key=lambda name: (counts[name], rng.random()))
    return domain, [service for service, domains in remote.items() if domain in domains]


def _entry_count(services: list[str]) -> int:
    """Compute the number of entries among which shards are divided."""
    return max(1, math.ceil(len(services) / MAX_SHARDS_PER_ENTRY))


def _split_evenly(services: list[str], addresses: list[str]) -> dict[str, list[str]]:
    """Divide shards evenly among addresses."""
    return {
        address: services[index :: len(addresses)]
        for index, address in enumerate(addresses)
        if services[index :: len(addresses)]
    }


def _partial_result(reply: DelegateReply | None) -> PartialResult | None:
    if reply is None:
        return None
    return PartialResult(
        reply.services,
        reply.signatures,
        reply.untried,
        reply.pending,
        reply.may_have_run,
        reply.body,
    )
