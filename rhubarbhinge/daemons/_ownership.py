"""Which searchers this relay owns, and with what share."""

from dataclasses import replace

from rhubarbhinge.daemons._domainowners import DomainOwners
from rhubarbhinge.register import Register, Upstream
from rhubarbhinge.routing import UpstreamSpec
from rhubarbhinge.wire import upstream_id

#: A new owner keeps to half of a searcher for so long, while the former owner is still up: the
#: former one learns of the change within a second, and finishes what it has in flight.
HANDOVER_MS = 2_000.0
_HANDOVER_SHARE = 0.5


class Ownership:
    """The searchers that one relay owns, by rendezvous hashing over the live relays.

    :param relay: this relay's node name.
    :param failure_domain: its failure domain.
    :param slots_apply: False sends up to the connection cap at once; a switch for measuring.
    """

    def __init__(self, relay: str, failure_domain: str, slots_apply: bool = True) -> None:
        self._relay = relay
        self._failure_domain = failure_domain
        self._slots_apply = slots_apply
        self._owners = DomainOwners()
        self._owner_before: dict[str, str] = {}
        self._full_share_ms: dict[str, float] = {}

    def owned(
        self,
        register: Register,
        live_relays: tuple[str, ...],
        alive_relays: frozenset[str],
        now_ms: float,
    ) -> tuple[UpstreamSpec, ...]:
        """Work out what this relay owns now.

        :param register: the register in force.
        :param live_relays: live and linked relays of the failure domain, this one among them.
        :param alive_relays: those not known to be dead: they may still hold what was theirs.
        :param now_ms: the time.
        :returns: the searchers, each with the share that may be used.
        """
        table = self._owners.table(register, self._failure_domain, live_relays)
        specs = []
        for upstream in register.upstreams:
            if upstream.failure_domain != self._failure_domain:
                continue
            owner = table.owner(upstream.system, upstream.name)
            if owner == self._relay:
                specs.append(self._spec(register, upstream, alive_relays, now_ms))
            self._owner_before[upstream.name] = owner or ""
        return tuple(specs)

    def next_change_ms(self, now_ms: float) -> float | None:
        """Give the time when a share grows.

        :param now_ms: the time.
        :returns: when, None when nothing is due.
        """
        due = [at_ms for at_ms in self._full_share_ms.values() if at_ms > now_ms]
        return min(due, default=None)

    def _spec(
        self,
        register: Register,
        upstream: Upstream,
        alive_relays: frozenset[str],
        now_ms: float,
    ) -> UpstreamSpec:
        before = self._owner_before.get(upstream.name)
        others = len(alive_relays) > 1 if before is None else before in alive_relays
        if before != self._relay and others:
            self._full_share_ms[upstream.name] = now_ms + HANDOVER_MS
        full = now_ms >= self._full_share_ms.get(upstream.name, 0.0)
        spec = upstream_spec(register, upstream, 1.0 if full else _HANDOVER_SHARE)
        return spec if self._slots_apply else replace(spec, slots=spec.connections)


def upstream_spec(register: Register, upstream: Upstream, share: float) -> UpstreamSpec:
    """Describe a searcher to a relay core.

    :param register: the register in force.
    :param upstream: the searcher.
    :param share: part of its slots and connections that may be used.
    :returns: the description.
    """
    system = register.system(upstream.system)
    return UpstreamSpec(
        upstream_id(upstream.name),
        upstream.name,
        upstream.ip,
        upstream.port,
        system.slots,
        system.connections,
        system.connect_ms,
        upstream.leaving,
        share,
    )


def leaving_upstreams(register: Register, leaving_instances: frozenset[str]) -> frozenset[int]:
    """Find the searchers on VMs that leave.

    :param register: the register in force.
    :param leaving_instances: names of instances that the VM list shows as leaving.
    :returns: the searchers' numbers.
    """
    return frozenset(
        upstream_id(upstream.name)
        for upstream in register.upstreams
        if upstream.instance in leaving_instances
    )
