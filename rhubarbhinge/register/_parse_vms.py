"""The parser of the ``vms`` document."""

from rhubarbhinge.register import _fields as fields
from rhubarbhinge.register import _lenient as lenient
from rhubarbhinge.register._check_document import check_document
from rhubarbhinge.register._faults import Checked, FaultLog
from rhubarbhinge.register._fields import format_value
from rhubarbhinge.register._parse_register import MAX_PORT, MAX_REVISION
from rhubarbhinge.register._vms import Node, Vm, VmList

MAX_VMS = 20_000
MAX_NODES = 16
"""Maximum number of processes of this system on one VM."""

_node_parser = fields.record(
    Node,
    {
        "role": fields.choice("entry", "relay"),
        "peer_port": fields.integer(1, MAX_PORT),
        "http_port": fields.integer(1, MAX_PORT),
    },
)
_vm_parser = fields.record(
    Vm,
    {
        "name": fields.name,
        "failure_domain": fields.name,
        "ip": fields.ip_address,
        "state": fields.choice("live", "leaving"),
        "nodes": fields.array(_node_parser, 0, MAX_NODES),
    },
)
_vms_parser = fields.record(
    VmList,
    {
        "revision": fields.integer(1, MAX_REVISION),
        "vms": fields.array(_vm_parser, 0, MAX_VMS),
    },
)


def parse_vms(data: bytes) -> Checked[VmList]:
    """Check a list of VMs.

    :param data: The raw document.
    :returns: The VMs, or all faults found.
    """
    return check_document(data, _vms_parser, _check_vms)


def _check_vms(log: FaultLog, raw: object) -> None:
    lenient.check_unique(log, lenient.placed_names(raw, "vms"), "the VM")
    for place, vm in lenient.objects(raw, "vms"):
        nodes = lenient.objects(vm, "nodes", place)
        roles = [
            item for node_place, node in nodes for item in lenient.string(node, "role", node_place)
        ]
        lenient.check_unique(log, roles, "the role")
    _check_addresses(log, raw)


def _check_addresses(log: FaultLog, raw: object) -> None:
    first_places: dict[tuple[str, int], str] = {}
    for place, vm in lenient.objects(raw, "vms"):
        for node_place, node in lenient.objects(vm, "nodes", place):
            for key in ("peer_port", "http_port"):
                _check_address(
                    log, first_places, vm.get("ip"), node.get(key), f"{node_place}.{key}"
                )


def _check_address(log: FaultLog, first_places: dict, ip: object, port: object, place: str) -> None:
    if not isinstance(ip, str) or type(port) is not int:
        return
    if (ip, port) in first_places:
        message = f"{format_value(ip)} port {port} is already used at {first_places[ip, port]}"
        log.add(place, "duplicate-address", message, "correct the IP address or the port")
    first_places.setdefault((ip, port), place)
