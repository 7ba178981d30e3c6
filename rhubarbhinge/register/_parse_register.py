"""The parser of the ``register`` document."""

from rhubarbhinge.register import _fields as fields
from rhubarbhinge.register._check_document import check_document
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

MAX_REVISION = 2**53 - 1
"""Largest integer that every JSON implementation represents exactly (RFC 8259, section 6)."""

MAX_PORT = 65_535
"""Largest TCP port."""

MAX_FAILURE_DOMAINS = 64
MAX_SYSTEMS = 256
MAX_UPSTREAMS = 20_000
MAX_PLANTS = 10_000
MAX_UNITS = 1_000
MAX_SUPPLIERS = 10_000
MAX_COLLECTIONS = 4_096
MAX_SHARDS = 4_096
MAX_REPLICAS = 16
MAX_ACTIONS = 1_000
MAX_SLOTS = 1_024
MAX_CONNECTIONS = 65_535
MAX_CONNECT_MS = 60_000

_revision_parser = fields.integer(1, MAX_REVISION)
_port_parser = fields.integer(1, MAX_PORT)

_system_parser = fields.record(
    System,
    {
        "name": fields.name,
        "slots": fields.integer(1, MAX_SLOTS),
        "connections": fields.integer(1, MAX_CONNECTIONS),
        "connect_ms": fields.number(0, MAX_CONNECT_MS),
    },
)
_upstream_parser = fields.record(
    Upstream,
    {
        "name": fields.name,
        "system": fields.name,
        "instance": fields.name,
        "failure_domain": fields.name,
        "ip": fields.ip_address,
        "port": _port_parser,
        "leaving": fields.boolean,
    },
    optional=frozenset({"leaving"}),
)
_plant_parser = fields.record(
    Plant, {"name": fields.name, "units": fields.array(fields.name, 0, MAX_UNITS)}
)
_supplier_parser = fields.record(Supplier, {"name": fields.name})
_shard_parser = fields.record(
    Shard,
    {
        "lo": fields.integer(0, KEY_SPACE - 1),
        "hi": fields.integer(1, KEY_SPACE),
        "upstreams": fields.array(fields.name, 1, MAX_REPLICAS),
    },
)
_collection_parser = fields.record(
    Collection,
    {
        "name": fields.name,
        "system": fields.name,
        "about": fields.array(fields.name, 0, MAX_PLANTS),
        "shards": fields.array(_shard_parser, 1, MAX_SHARDS),
    },
)
_action_parser = fields.record(
    Action,
    {
        "name": fields.name,
        "system": fields.name,
        "upstreams": fields.array(fields.name, 1, MAX_UPSTREAMS),
    },
)
_register_parser = fields.record(
    Register,
    {
        "revision": _revision_parser,
        "tenant": fields.name,
        "failure_domains": fields.array(fields.name, 1, MAX_FAILURE_DOMAINS),
        "systems": fields.array(_system_parser, 1, MAX_SYSTEMS),
        "upstreams": fields.array(_upstream_parser, 0, MAX_UPSTREAMS),
        "plants": fields.array(_plant_parser, 0, MAX_PLANTS),
        "suppliers": fields.array(_supplier_parser, 0, MAX_SUPPLIERS),
        "collections": fields.array(_collection_parser, 0, MAX_COLLECTIONS),
        "actions": fields.array(_action_parser, 0, MAX_ACTIONS),
    },
)


def parse_register(data: bytes) -> Checked[Register]:
    """Check a register document.

    The result depends only on the bytes, so that all nodes reach the same one.

    :param data: The raw document.
    :returns: The register, or all faults found.
    """
    return check_document(data, _register_parser, check_register)
