"""The nodes that the platform's VM list names."""

from rhubarbhinge.control import VmNode
from rhubarbhinge.register import VmList, parse_vms


def vm_nodes(data: bytes) -> list[VmNode]:
    """Read the nodes out of a VM list.

    :param data: the document's bytes.
    :returns: every listed node; none when the document does not parse.
    """
    checked = parse_vms(data)
    if checked.value is None:
        return []
    return [
        VmNode(
            vm.node_name(node),
            node.role,
            vm.failure_domain,
            vm.ip,
            node.peer_port,
            node.http_port,
            vm.state,
        )
        for vm in checked.value.vms
        for node in vm.nodes
    ]


def entry_names(vms: VmList) -> frozenset[str]:
    """Give the entries of a VM list.

    :param vms: the list.
    :returns: node names, of all failure domains.
    """
    return frozenset(
        vm.node_name(node) for vm in vms.vms for node in vm.nodes if node.role == "entry"
    )
