"""Parsing and validation of the operators' documents into immutable models.

Parsers are pure functions: the same bytes give the same result on every node, with the same faults
in the same order.
"""

from rhubarbhinge.register._document import to_document
from rhubarbhinge.register._faults import (
    MAX_COUNTED_FAULTS,
    MAX_LISTED_FAULTS,
    Checked,
    Fault,
    FaultLog,
)
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
from rhubarbhinge.register._json import MAX_DOCUMENT_BYTES
from rhubarbhinge.register._parse_register import parse_register
from rhubarbhinge.register._parse_rules import cross_check, parse_rules
from rhubarbhinge.register._parse_vms import parse_vms
from rhubarbhinge.register._rules import Limits, Route, Rules, TrafficClass
from rhubarbhinge.register._vms import Node, Vm, VmList

__all__ = [
    "KEY_SPACE",
    "MAX_DOCUMENT_BYTES",
    "MAX_COUNTED_FAULTS",
    "MAX_LISTED_FAULTS",
    "Action",
    "Checked",
    "Collection",
    "Fault",
    "FaultLog",
    "Limits",
    "Node",
    "Plant",
    "Register",
    "Route",
    "Rules",
    "Shard",
    "Supplier",
    "System",
    "TrafficClass",
    "Upstream",
    "Vm",
    "VmList",
    "cross_check",
    "parse_register",
    "parse_rules",
    "parse_vms",
    "to_document",
]
