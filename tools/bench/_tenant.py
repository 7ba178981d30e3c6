"""One tenant's deployment while it is measured."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.deployment import LiveDeployment, Size, wait_for
from standins.fleet import Fleet, Process, call
from tools.bench._traffic import TRAFFIC, Traffic
from tools.bench._variant import Variant

SIGMA = 0.3
"""Standard deviation of the logarithm of the searchers' service time."""

_LOG_END_CHARACTERS = 2_000
_BOTH_ROLES = ("relay", "entry")


class Tenant:
    """A tenant's platform and searchers, and the nodes of one variant at a time.

    :param fleet: owns the processes.
    :param name: ``kingston`` or ``suva``.
    :param size: how large.
    """

    def __init__(self, fleet: Fleet, name: str, size: Size) -> None:
        self.name = name
        self.traffic: Traffic = TRAFFIC[name]
        self.deployment = LiveDeployment(fleet, name, size, knobs={"sigma": SIGMA})
        self._median_ms = 0.0

    @property
    def searchers(self) -> tuple[str, ...]:
        """Names of all searchers."""
        return tuple(self.deployment.searcher_ports)

    def start_nodes(self, variant: Variant) -> None:
        """Start the entries and relays of a variant, and wait until they serve.

        :param variant: the variant; direct pools go without relays.
        :raises OSError: when they are not ready in time, or end.
        """
        deployment = self.deployment
        roles = ("entry",) if variant.is_direct else _BOTH_ROLES
        for vm in deployment.vms:
            for role in roles:
                deployment.start_node(vm, role, variant.settings)
        deployment.wait_serving()
        for vm in deployment.vms:
            wait_for(lambda vm=vm: self._knows_all(vm), f"{vm.name} knows all searchers")

    def dead_nodes(self) -> list[str]:
        """Find the nodes that ended by themselves.

        :returns: a line for each, with the end of what it logged.
        """
        return [
            f"{process.name} ended with {process.popen.returncode}: "
            f"{process.errors().strip()[-_LOG_END_CHARACTERS:]}"
            for vm in self.deployment.vms
            for process in vm.nodes.values()
            if not process.is_running()
        ]

    def stop_nodes(self) -> None:
        """End all entries and relays at once."""
        for vm in self.deployment.vms:
            for process in vm.nodes.values():
                process.kill()
            vm.nodes.clear()

    def serve_in(self, median_ms: float) -> None:
        """Set the service time of all searchers.

        :param median_ms: its median.
        """
        if median_ms != self._median_ms:
            self.change(self.searchers, {"median_ms": median_ms})
            self._median_ms = median_ms

    def slots_carry_per_s(self, median_ms: float) -> float:
        """Work out the queries a second at which the searched systems' slots are all busy.

        :param median_ms: median of the searchers' service time.
        :returns: the rate, each collection having an equal part of it.
        """
        mean_s = median_ms / 1000 * math.exp(SIGMA**2 / 2)
        register = self.deployment.register
        slots = {each["name"]: each["slots"] for each in register["systems"]}
        total = Counter(each["system"] for each in register["upstreams"])
        asked: Counter[str] = Counter()
        for each in register["collections"]:
            if each["name"] in self.traffic.collections:
                asked[each["system"]] += len(each["shards"]) / len(self.traffic.collections)
        return min(slots[name] * total[name] / (shards * mean_s) for name, shards in asked.items())

    def entry_ports(self) -> list[int]:
        """Give the HTTP ports of the entries.

        :returns: the ports.
        """
        return [vm.entry_http for vm in self.deployment.vms]

    def pids(self) -> dict[str, list[int]]:
        """Give the processes by group.

        :returns: process ids.
        """
        nodes = [vm.nodes for vm in self.deployment.vms]
        return {
            "entries": [each["entry"].pid for each in nodes if "entry" in each],
            "relays": [each["relay"].pid for each in nodes if "relay" in each],
            "searchers": [process.pid for process in self.searcher_processes()],
            "platform": [self.deployment.platform.pid],
        }

    def searcher_processes(self) -> Sequence[Process]:
        """Give the processes that the searchers are spread over.

        :returns: the processes.
        """
        return tuple({process.pid: process for process in self._owners().values()}.values())

    def change(self, names: Iterable[str], changes: Mapping[str, Any]) -> None:
        """Change the behaviour of some searchers.

        :param names: the searchers.
        :param changes: knobs, see docs/standins.md.
        """
        wanted = set(names)
        for process in self.searcher_processes():
            here = [name for name in wanted if self._owners()[name].pid == process.pid]
            if here:
                call(process.control_port, f"/standin?searcher={','.join(here)}", dict(changes))

    def change_platform(self, changes: Mapping[str, Any]) -> None:
        """Change the behaviour of the platform.

        :param changes: knobs, see docs/standins.md.
        """
        call(self.deployment.platform.port(), "/standin", dict(changes))

    def _owners(self) -> Mapping[str, Process]:
        return self.deployment.searchers

    def _knows_all(self, vm: Any) -> bool:
        known = self.deployment.status(vm)["searchers_announced"]
        return known >= len(self.searchers)


def start_all(tenants: Sequence[Tenant], variant: Variant) -> None:
    """Start the nodes of several tenants side by side.

    :param tenants: the tenants.
    :param variant: the variant.
    """
    with ThreadPoolExecutor(len(tenants)) as pool:
        list(pool.map(lambda tenant: tenant.start_nodes(variant), tenants))
