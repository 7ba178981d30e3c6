"""What the example deployments consist of.

Sizes are those that the two tenants run today; names are made up.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class SystemPlan:
    """A system and its size.

    :param name: Name of the system.
    :param instances: VMs that it runs on.
    :param searchers: Upstreams on each VM.
    :param slots: Slots of each upstream.
    :param connections: Connections that each upstream accepts.
    :param connect_ms: Time to open a connection, in milliseconds.
    """

    name: str
    instances: int
    searchers: int
    slots: int
    connections: int
    connect_ms: int


@dataclass(frozen=True, slots=True)
class CollectionPlan:
    """A collection and its size.

    :param name: Name of the collection.
    :param system: Name of the system that holds it.
    :param shards: Number of its shards.
    :param replicas: Replicas of each shard, all in different failure domains.
    :param traffic_class: Class that its queries belong to.
    :param about: Plants and suppliers that its records are about.
    """

    name: str
    system: str
    shards: int
    replicas: int
    traffic_class: str
    about: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """One tenant.

    :param name: Name of the tenant.
    :param failure_domains: Names of its failure domains.
    :param systems: Its systems.
    :param collections: Its collections.
    :param plants: Units of each plant.
    :param suppliers: Its suppliers.
    :param actions: System of each action; all of them must not repeat.
    :param classes: Its traffic classes, as published.
    :param default_class: Class of collections without a route.
    :param in_flight: Queries that one entry works on at once.
    """

    name: str
    failure_domains: tuple[str, ...]
    systems: tuple[SystemPlan, ...]
    collections: tuple[CollectionPlan, ...]
    plants: Mapping[str, tuple[str, ...]]
    suppliers: tuple[str, ...]
    actions: Mapping[str, str]
    classes: tuple[Mapping[str, Any], ...]
    default_class: str
    in_flight: int


_KINGSTON_PLANTS = {
    "rockfort": ("rockfort-1", "rockfort-2"),
    "hunts-bay": ("hunts-bay-gt5", "hunts-bay-gt10", "hunts-bay-b6"),
    "old-harbour": ("old-harbour-st1", "old-harbour-gt1", "old-harbour-gt2", "old-harbour-gt3"),
    "bogue": ("bogue-gt12", "bogue-gt13", "bogue-st14"),
    "spring-garden": ("spring-garden-d10", "spring-garden-d11", "spring-garden-gt3"),
}
_KINGSTON_SUPPLIERS = (
    "caribbean-turbine-parts",
    "antilles-boiler-works",
    "harbour-crane-hire",
    "blue-mountain-bearings",
    "leeward-valve-and-seal",
)
_SUVA_PLANTS = {
    "labasa-mill": ("labasa-mill-weighbridge", "labasa-mill-store"),
    "lautoka-mill": ("lautoka-mill-weighbridge", "lautoka-mill-store"),
    "vuda-terminal": ("vuda-terminal-rack-1", "vuda-terminal-rack-2"),
    "walu-bay-depot": ("walu-bay-depot-gate",),
}
_SUVA_SUPPLIERS = (
    "labasa-cane-growers",
    "lautoka-cane-haulage",
    "vuda-fuel-supply",
    "rewa-dairy-farmers",
    "nausori-rice-growers",
    "walu-bay-shipping",
)


def _desk(name: str, instances: int) -> SystemPlan:
    """A system on VMs with two small upstreams each."""
    return SystemPlan(name, instances, searchers=2, slots=2, connections=25, connect_ms=6)


def _tracker(name: str, instances: int) -> SystemPlan:
    """A system of few upstreams that accept many connections."""
    return SystemPlan(name, instances, searchers=1, slots=3, connections=100, connect_ms=1)


def _record_desk(name: str, instances: int) -> SystemPlan:
    """A system of few upstreams with more slots and fewer connections."""
    return SystemPlan(name, instances, searchers=1, slots=4, connections=40, connect_ms=1)


def _traffic_class(
    name: str, weight: int, prefers: str, deadline_ms: int, least_coverage: float, **hedging: float
) -> Mapping[str, Any]:
    return {
        "name": name,
        "weight": weight,
        "prefers": prefers,
        "deadline_ms": deadline_ms,
        "least_coverage": least_coverage,
        "extra_load": hedging.get("extra_load", 0.05),
        "hedge_quantile": hedging.get("hedge_quantile", 0.95),
    }


_KINGSTON = DeploymentPlan(
    name="kingston",
    failure_domains=("kgn-a", "kgn-b", "kgn-c"),
    systems=(
        _desk("outage-search-desk", 20),
        _desk("member-portal", 30),
        _tracker("spare-parts-stores-tracker", 7),
        _tracker("regulator-report-builder", 3),
    ),
    collections=(
        CollectionPlan(
            "overhauls", "outage-search-desk", 40, 3, "unit-trip", tuple(_KINGSTON_PLANTS)
        ),
        CollectionPlan(
            "boiler-inspections", "outage-search-desk", 40, 3, "planning", tuple(_KINGSTON_PLANTS)
        ),
        CollectionPlan(
            "outage-schedules", "member-portal", 60, 2, "planning", tuple(_KINGSTON_PLANTS)
        ),
        CollectionPlan(
            "spare-part-histories",
            "spare-parts-stores-tracker",
            21,
            2,
            "planning",
            _KINGSTON_SUPPLIERS,
        ),
        CollectionPlan(
            "regulator-reports",
            "regulator-report-builder",
            12,
            2,
            "reporting",
            tuple(_KINGSTON_PLANTS),
        ),
    ),
    plants=_KINGSTON_PLANTS,
    suppliers=_KINGSTON_SUPPLIERS,
    actions={"parts-order": "spare-parts-stores-tracker", "crane-booking": "member-portal"},
    classes=(
        _traffic_class("unit-trip", 8, "latency", 230, 0.9),
        _traffic_class("planning", 3, "latency", 800, 0.95),
        _traffic_class(
            "reporting", 1, "latency", 3_000, 0.98, extra_load=0.02, hedge_quantile=0.99
        ),
    ),
    default_class="planning",
    in_flight=64,
)

_SUVA = DeploymentPlan(
    name="suva",
    failure_domains=("suv-a", "suv-b", "suv-c", "suv-d"),
    systems=(
        _desk("payment-run-engine", 20),
        _desk("ledger-sync", 30),
        _record_desk("supplier-record-desk", 4),
        _record_desk("payment-audit-trail", 4),
    ),
    collections=(
        CollectionPlan("remittances", "payment-run-engine", 40, 3, "remittance", _SUVA_SUPPLIERS),
        CollectionPlan("invoices", "payment-run-engine", 40, 3, "payment-check", _SUVA_SUPPLIERS),
        CollectionPlan("ledger-entries", "ledger-sync", 60, 2, "remittance", _SUVA_SUPPLIERS),
        CollectionPlan(
            "vendor-profiles", "supplier-record-desk", 16, 2, "payment-check", _SUVA_SUPPLIERS
        ),
        CollectionPlan("audit-entries", "payment-audit-trail", 16, 2, "audit", tuple(_SUVA_PLANTS)),
    ),
    plants=_SUVA_PLANTS,
    suppliers=_SUVA_SUPPLIERS,
    actions={"payment-batch": "payment-run-engine"},
    classes=(
        _traffic_class("payment-check", 8, "coverage", 1_500, 0.999),
        _traffic_class("remittance", 4, "coverage", 2_500, 0.999),
        _traffic_class("audit", 1, "coverage", 10_000, 0.99, extra_load=0.02, hedge_quantile=0.99),
    ),
    default_class="remittance",
    in_flight=64,
)

DEPLOYMENTS: Mapping[str, DeploymentPlan] = {"kingston": _KINGSTON, "suva": _SUVA}
"""The tenants by name."""
