"""The parser of the ``vms`` document."""

from rhubarbhinge.register import _fields as fields
from rhubarbhinge.register import _raw as raws
from rhubarbhinge.register._faults import Checked, FaultLog
from rhubarbhinge.register._fields import shown
from rhubarbhinge.register._parse_register import MOST_PORT, MOST_REVISION
from rhubarbhinge.register._verdict import check_document
from rhubarbhinge.register._vms import Node, Vm, VmList

MOST_VMS = 20_000
MOST_NODES = 16
"""Processes of this system on one VM."""

_node = fields.record(
    Node,
    {
        "role": fields.choice("entry", "relay"),
        "peer_port": fields.whole(1, MOST_PORT),
        "http_port": fields.whole(1, MOST_PORT),
    },
)
_vm = fields.record(
    Vm,
    {
        "name": fields.name,
        "failure_domain": fields.name,
        "ip": fields.ip_number,
        "state": fields.choice("live", "leaving"),
        "nodes": fields.array(_node, 0, MOST_NODES),
    },
)
_vms = fields.record(
    VmList,
    {
        "revision": fields.whole(1, MOST_REVISION),
        "vms": fields.array(_vm, 0, MOST_VMS),
    },
)


def parse_vms(data: bytes) -> Checked[VmList]:
    """Check a list of VMs.

    :param data: The raw document.
    :returns: The VMs, or all faults found.
    """
    return check_document(data, _vms, _check_vms)


def _check_vms(log: FaultLog, raw: object) -> None:
    raws.check_unique(log, raws.placed_names(raw, "vms"), "the VM")
    for place, vm in raws.objects(raw, "vms"):
        nodes = raws.objects(vm, "nodes", place)
        roles = [item for at, node in nodes for item in raws.text(node, "role", at)]
        raws.check_unique(log, roles, "the role")
    _check_addresses(log, raw)


def _check_addresses(log: FaultLog, raw: object) -> None:
    first: dict[tuple[str, int], str] = {}
    for place, vm in raws.objects(raw, "vms"):
        for at, node in raws.objects(vm, "nodes", place):
            for key in ("peer_port", "http_port"):
                _check_address(log, first, vm.get("ip"), node.get(key), f"{at}.{key}")


def _check_address(log: FaultLog, first: dict, ip: object, port: object, place: str) -> None:
    if not isinstance(ip, str) or type(port) is not int:
        return
    if (ip, port) in first:
        message = f"{shown(ip)} port {port} stands already at {first[ip, port]}"
        log.add(place, "duplicate-address", message, "correct the ip or the port")
    first.setdefault((ip, port), place)
