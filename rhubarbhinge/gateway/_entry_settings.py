"""Settings of an entry."""

from dataclasses import dataclass, fields

from rhubarbhinge.fleet import ColdRule
from rhubarbhinge.gateway._address import Address
from rhubarbhinge.members import UNKNOWN_CAPACITY, VmCapacity
from rhubarbhinge.published import DEFAULT_FRESHNESS, Freshness
from rhubarbhinge.retries import BudgetRule


class SettingsError(ValueError):
    """Raised for invalid settings.

    :ivar code: machine-readable error code.
    """

    code = "bad-settings"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry.

    The names of the fields appear in the log when settings are reloaded.

    :param name: name of the VM.
    :param ip: IP address of the VM.
    :param failure_domain: failure domain of the VM.
    :param callers: address on which callers are served.
    :param readiness: address on which the load balancer checks the readiness of the entry.
    :param readiness_path: path of the readiness check.
    :param peer_port: TCP and UDP port for other entries, the same on all VMs.
    :param ask_port: TCP port for shards delegated by other entries, the same on all VMs.
    :param metrics_port: port on which metrics are served.
    :param seed_ips: IP addresses of some other VMs, which may be stale.
    :param store: address of the platform's store.
    :param stop_grace_ms: time between the stop signal and the forced end of the process.
    :param retry_budget: limit of hedges and retries of all entries together.
    :param capacity: processor and network link of the VM.
    :param memory_bytes: memory limit of the process, an eighth of which may hold bytes buffered for
        others; 0 if it is unknown; fixed at the start of the process.
    :param cold_rule: limit of the requests of all entries together to a cold searcher.
    :param freshness: how recent the published state has to be; fixed at the start of the process.
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
    capacity: VmCapacity = UNKNOWN_CAPACITY
    memory_bytes: int = 0
    cold_rule: ColdRule = ColdRule()
    freshness: Freshness = DEFAULT_FRESHNESS

    @property
    def link_bits_per_ms(self) -> float:
        """Rate of the VM's network link; 0 if it is unknown."""
        return self.capacity.link_bits_per_ms


def changed_fields(old: EntrySettings, new: EntrySettings) -> list[str]:
    """Compare settings.

    :param old: the current settings.
    :param new: the new settings.
    :returns: names of the fields that differ.
    """
    return [f.name for f in fields(old) if getattr(old, f.name) != getattr(new, f.name)]
