"""Settings of the gateway's entry."""

from dataclasses import dataclass, fields

from rhubarbhinge.fleet import ColdRule
from rhubarbhinge.gateway._address import Address
from rhubarbhinge.retries import BudgetRule


class SettingsError(ValueError):
    """Settings that can't be used.

    :ivar code: for programs.
    """

    code = "bad-settings"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry that serves published plans.

    :param name: name of the VM.
    :param ip: its IP address.
    :param failure_domain: its failure domain.
    :param callers: where callers connect.
    :param readiness: where the balancer asks whether the entry is ready.
    :param readiness_path: the path it asks for.
    :param peer_port: port for other entries, TCP and UDP, the same on all VMs.
    :param ask_port: TCP port for other entries' asks, the same on all VMs.
    :param metrics_port: port for operators.
    :param seed_ips: IP addresses of some other VMs; they may be stale.
    :param store: address of the platform's store.
    :param stop_grace_ms: time between the signal to stop and being killed.
    :param retry_budget: what all entries together may send beyond the first time.
    :param link_bits_per_ms: rate of the VM's network link; 0 when it is not known.
    :param cold_rule: what all entries together may send to a cold searcher.
    """

    name: str
    ip: str
    failure_domain: str
    callers: Address
    readiness: Address
    readiness_path: str
    peer_port: int
    ask_port: int
    metrics_port: int
    seed_ips: tuple[str, ...]
    store: Address
    stop_grace_ms: float
    retry_budget: BudgetRule
    link_bits_per_ms: float = 0.0
    cold_rule: ColdRule = ColdRule()


def changed_fields(old: EntrySettings, new: EntrySettings) -> list[str]:
    """Compare settings.

    :param old: those in force.
    :param new: those to come.
    :returns: names of the fields that differ.
    """
    return [f.name for f in fields(old) if getattr(old, f.name) != getattr(new, f.name)]
