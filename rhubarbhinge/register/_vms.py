"""Immutable model of the platform's list of VMs."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Literal


@dataclass(frozen=True, slots=True)
class Node:
    """One process of this system.

    :param role: Program that the process runs.
    :param peer_port: TCP and UDP port for other nodes.
    :param http_port: TCP port for callers and operators.
    """

    role: Literal["entry", "relay"]
    peer_port: int
    http_port: int


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM.

    :param name: Unique name; for the VM of an upstream, its ``instance`` in the register.
    :param failure_domain: Its failure domain.
    :param ip: Numeric IP address.
    :param state: Whether the VM stays (``live``) or is being removed (``leaving``).
    :param nodes: The processes of this system on it.
    """

    name: str
    failure_domain: str
    ip: str
    state: Literal["live", "leaving"]
    nodes: tuple[Node, ...]

    def node_name(self, node: Node) -> str:
        """Return the name of a node of this VM.

        :param node: The node.
        :returns: ``<vm name>/<role>``.
        """
        return f"{self.name}/{node.role}"


@dataclass(frozen=True, slots=True)
class VmList:
    """The VMs as last reported by the platform.

    :param revision: Number that increases with each publication.
    :param vms: The VMs.
    """

    revision: int
    vms: tuple[Vm, ...]
    _vms: Mapping[str, Vm] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_vms", MappingProxyType({vm.name: vm for vm in self.vms}))

    def vm(self, name: str) -> Vm | None:
        """Look up a VM.

        :param name: Its name.
        :returns: The VM, or ``None``.
        """
        return self._vms.get(name)
