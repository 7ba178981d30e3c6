"""The parser of the ``register`` document."""

from rhubarbhinge.register import _fields as fields
from rhubarbhinge.register._faults import Checked
from rhubarbhinge.register._inventory import (
    KEY_SPACE,
    Action,
    Collection,
    Plant,
    Register,
    Shard,
    Supplier,
    System,
    Upstream,
)
from rhubarbhinge.register._register_checks import check_register
from rhubarbhinge.register._verdict import check_document

MOST_REVISION = 2**53 - 1
"""Largest whole number that every JSON reader keeps exactly (RFC 8259, section 6)."""

MOST_PORT = 65_535
"""Largest TCP port."""

MOST_FAILURE_DOMAINS = 64
MOST_SYSTEMS = 256
MOST_UPSTREAMS = 20_000
MOST_PLANTS = 10_000
MOST_UNITS = 1_000
MOST_SUPPLIERS = 10_000
MOST_COLLECTIONS = 4_096
MOST_SHARDS = 4_096
MOST_REPLICAS = 16
MOST_ACTIONS = 1_000
MOST_SLOTS = 1_024
MOST_CONNECTIONS = 65_535
MOST_CONNECT_MS = 60_000

_revision = fields.whole(1, MOST_REVISION)
_port = fields.whole(1, MOST_PORT)

_system = fields.record(
    System,
    {
        "name": fields.name,
        "slots": fields.whole(1, MOST_SLOTS),
        "connections": fields.whole(1, MOST_CONNECTIONS),
        "connect_ms": fields.number(0, MOST_CONNECT_MS),
    },
)
_upstream = fields.record(
    Upstream,
    {
        "name": fields.name,
        "system": fields.name,
        "instance": fields.name,
        "failure_domain": fields.name,
        "ip": fields.ip_number,
        "port": _port,
        "leaving": fields.flag,
    },
    optional=frozenset({"leaving"}),
)
_plant = fields.record(
    Plant, {"name": fields.name, "units": fields.array(fields.name, 0, MOST_UNITS)}
)
_supplier = fields.record(Supplier, {"name": fields.name})
_shard = fields.record(
    Shard,
    {
        "lo": fields.whole(0, KEY_SPACE - 1),
        "hi": fields.whole(1, KEY_SPACE),
        "upstreams": fields.array(fields.name, 1, MOST_REPLICAS),
    },
)
_collection = fields.record(
    Collection,
    {
        "name": fields.name,
        "system": fields.name,
        "about": fields.array(fields.name, 0, MOST_PLANTS),
        "shards": fields.array(_shard, 1, MOST_SHARDS),
    },
)
_action = fields.record(
    Action,
    {
        "name": fields.name,
        "system": fields.name,
        "upstreams": fields.array(fields.name, 1, MOST_UPSTREAMS),
    },
)
_register = fields.record(
    Register,
    {
        "revision": _revision,
        "tenant": fields.name,
        "failure_domains": fields.array(fields.name, 1, MOST_FAILURE_DOMAINS),
        "systems": fields.array(_system, 1, MOST_SYSTEMS),
        "upstreams": fields.array(_upstream, 0, MOST_UPSTREAMS),
        "plants": fields.array(_plant, 0, MOST_PLANTS),
        "suppliers": fields.array(_supplier, 0, MOST_SUPPLIERS),
        "collections": fields.array(_collection, 0, MOST_COLLECTIONS),
        "actions": fields.array(_action, 0, MOST_ACTIONS),
    },
)


def parse_register(data: bytes) -> Checked[Register]:
    """Check a register document.

    The verdict depends on nothing but the bytes, so that all nodes come to the same one.

    :param data: The raw document.
    :returns: The register, or all faults found.
    """
    return check_document(data, _register, check_register)
