"""Make the example deployments: register and rules for Kingston and for Suva.

Run ``python -m tools.make_examples`` to write the files below ``examples/``. The demo and the bench
call `make_deployment` with live loopback ports, so that all of them use the same documents.
"""

import itertools
import json
import sys
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rhubarbhinge.register import KEY_SPACE
from tools._example_data import DEPLOYMENTS, CollectionPlan, DeploymentPlan, SystemPlan

LOOPBACK_IP = "127.0.0.1"
EXAMPLE_PORTS = {"kingston": 9001, "suva": 9301}
"""First upstream port of each committed example."""

REPLICA_STEP = 3
"""Positions between the replicas of a shard, so that the same upstreams aren't always together."""

LINE_LENGTH = 240
"""Long enough for one upstream or shard a line."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """The documents of one tenant.

    :param register: The register document.
    :param rules: The rules document.
    """

    register: dict[str, Any]
    rules: dict[str, Any]


def make_deployment(
    name: str, ports: Callable[[], int], scale: float = 1.0, ip: str = LOOPBACK_IP
) -> Deployment:
    """Make the documents of one tenant.

    :param name: ``kingston`` or ``suva``.
    :param ports: Gives the port of the next upstream.
    :param scale: Factor on the number of upstreams and shards; each failure domain keeps at least
        one upstream of each system.
    :param ip: Address of all upstreams.
    :returns: The documents.
    :raises KeyError: When no tenant has this name.
    """
    plan = DEPLOYMENTS[name]
    upstreams = [
        dict(upstream, ip=ip, port=ports(), leaving=False)
        for system in plan.systems
        for upstream in _upstreams(system, plan.failure_domains, scale)
    ]
    return Deployment(_register(plan, upstreams, scale), _rules(plan))


def main(folder: str = "examples") -> int:
    """Write the example files.

    :param folder: Folder to write to.
    :returns: 0.
    """
    for name, first_port in EXAMPLE_PORTS.items():
        deployment = make_deployment(name, itertools.count(first_port).__next__)
        target = Path(folder, name)
        target.mkdir(parents=True, exist_ok=True)
        (target / "register.json").write_text(render(deployment.register) + "\n")
        (target / "rules.json").write_text(render(deployment.rules) + "\n")
    return 0


def render(value: Any, indent: int = 0) -> str:
    """Write JSON with one line for each value that fits.

    :param value: The value.
    :param indent: Spaces that stand before it.
    :returns: The text.
    """
    line = json.dumps(value)
    if indent + len(line) <= LINE_LENGTH or not isinstance(value, dict | list):
        return line
    pad = " " * (indent + 1)
    if isinstance(value, dict):
        parts = [f"{json.dumps(key)}: {render(item, indent + 1)}" for key, item in value.items()]
        opening, closing = "{}"
    else:
        parts = [render(item, indent + 1) for item in value]
        opening, closing = "[]"
    inner = f",\n{pad}".join(parts)
    return f"{opening}\n{pad}{inner}\n{' ' * indent}{closing}"


def _register(plan: DeploymentPlan, upstreams: list[dict], scale: float) -> dict[str, Any]:
    members = {
        system.name: [each for each in upstreams if each["system"] == system.name]
        for system in plan.systems
    }
    collections = [
        _collection(collection, plan.failure_domains, members[collection.system], scale)
        for collection in plan.collections
    ]
    return {
        "revision": 1,
        "tenant": plan.name,
        "failure_domains": list(plan.failure_domains),
        "systems": [_system(system) for system in plan.systems],
        "upstreams": upstreams,
        "plants": [{"name": name, "units": list(units)} for name, units in plan.plants.items()],
        "suppliers": [{"name": name} for name in plan.suppliers],
        "collections": collections,
        "actions": [
            {
                "name": name,
                "system": system,
                "upstreams": _action_upstreams(members[system], plan.failure_domains),
            }
            for name, system in plan.actions.items()
        ],
    }


def _rules(plan: DeploymentPlan) -> dict[str, Any]:
    return {
        "revision": 1,
        "classes": [dict(each) for each in plan.classes],
        "default_class": plan.default_class,
        "routes": [
            {"collection": each.name, "class": each.traffic_class} for each in plan.collections
        ],
        "never_repeat": list(plan.actions),
        "limits": {"in_flight": plan.in_flight},
    }


def _system(system: SystemPlan) -> dict[str, Any]:
    return {
        "name": system.name,
        "slots": system.slots,
        "connections": system.connections,
        "connect_ms": system.connect_ms,
    }


def _upstreams(system: SystemPlan, domains: Sequence[str], scale: float) -> Iterator[dict]:
    """Spread the instances of a system over the failure domains in turn."""
    for index in range(_scaled(system.instances, scale, len(domains))):
        instance = f"{system.name}-{index + 1:02d}"
        domain = domains[index % len(domains)]
        for letter in "abcdefgh"[: system.searchers]:
            name = instance if system.searchers == 1 else f"{instance}-{letter}"
            yield {
                "name": name,
                "system": system.name,
                "instance": instance,
                "failure_domain": domain,
            }


def _collection(
    plan: CollectionPlan, domains: Sequence[str], members: list[dict], scale: float
) -> dict[str, Any]:
    count = _scaled(plan.shards, scale, len(domains))
    replicas = _replicas(plan.replicas, domains, members)
    shards = [
        {
            "lo": KEY_SPACE * index // count,
            "hi": KEY_SPACE * (index + 1) // count,
            "upstreams": next(replicas),
        }
        for index in range(count)
    ]
    return {
        "name": plan.name,
        "system": plan.system,
        "about": list(plan.about),
        "shards": shards,
    }


def _replicas(replicas: int, domains: Sequence[str], members: list[dict]) -> Iterator[list[str]]:
    """Give the upstreams of one shard after another, each in a failure domain of its own."""
    names = {domain: _names_in(members, domain) for domain in domains}
    cycles = {
        (domain, turn): itertools.islice(itertools.cycle(names[domain]), turn * REPLICA_STEP, None)
        for domain in domains
        for turn in range(replicas)
    }
    for index in itertools.count():
        chosen = [domains[(index + turn) % len(domains)] for turn in range(replicas)]
        yield [next(cycles[domain, turn]) for turn, domain in enumerate(chosen)]


def _names_in(members: list[dict], domain: str) -> list[str]:
    return [each["name"] for each in members if each["failure_domain"] == domain]


def _action_upstreams(members: list[dict], domains: Sequence[str]) -> list[str]:
    """Choose one upstream in each failure domain."""
    return [_names_in(members, domain)[0] for domain in domains]


def _scaled(count: int, scale: float, least: int) -> int:
    return max(least, round(count * scale))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
