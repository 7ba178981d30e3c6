"""Which relay to send a searcher's work to."""

from collections.abc import Callable

from rhubarbhinge.daemons._domainowners import DomainOwners
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.query import RelayTarget
from rhubarbhinge.register import Register
from rhubarbhinge.wire import upstream_id


class RelayDirectory:
    """The owner of each searcher, by the same rule that the relays follow.

    :param live_relays: gives the live relays of a failure domain.
    :param alive_relays: gives the relays of a failure domain that count as running, linked or not.
    :param peer_of: gives a linked node by name.
    """

    def __init__(
        self,
        live_relays: Callable[[str], tuple[str, ...]],
        alive_relays: Callable[[str], frozenset[str]],
        peer_of: Callable[[str], Peer | None],
    ) -> None:
        self._live_relays = live_relays
        self._alive_relays = alive_relays
        self._peer_of = peer_of
        self._owners = DomainOwners()
        self._targets: dict[int, RelayTarget] = {}
        self._domains: dict[int, str] = {}

    def relay_of(self, upstream_id: int) -> RelayTarget | None:
        """Give a searcher's owner.

        :param upstream_id: the searcher.
        :returns: its relay, None when no relay of its failure domain can be sent to.
        """
        return self._targets.get(upstream_id)

    def is_expected(self, upstream_id: int) -> bool:
        """Say whether a searcher has no relay for the moment only.

        :param upstream_id: the searcher.
        :returns: whether a relay of its failure domain runs, so that its link is on the way.
        """
        domain = self._domains.get(upstream_id)
        return domain is not None and bool(self._alive_relays(domain))

    def follow(self, register: Register) -> None:
        """Work out all owners anew, after the register, the relays or the links changed.

        :param register: the register in force.
        """
        live = {domain: self._linked(domain) for domain in register.failure_domains}
        tables = {
            domain: self._owners.table(register, domain, tuple(linked))
            for domain, linked in live.items()
        }
        targets = {}
        domains = {}
        for upstream in register.upstreams:
            number = upstream_id(upstream.name)
            domains[number] = upstream.failure_domain
            owner = tables[upstream.failure_domain].owner(upstream.system, upstream.name)
            if owner is not None:
                targets[number] = live[upstream.failure_domain][owner]
        self._targets = targets
        self._domains = domains

    def _linked(self, domain: str) -> dict[str, RelayTarget]:
        linked = {}
        for name in self._live_relays(domain):
            peer = self._peer_of(name)
            if peer is not None:
                linked[name] = RelayTarget(name, peer.incarnation)
        return linked
