"""Generators of valid documents, which tests parse as they are or with changed values."""

from hypothesis import strategies as st

from rhubarbhinge.register import KEY_SPACE


@st.composite
def registers(draw):
    """Generate valid registers."""
    domains = [f"zone-{index}" for index in range(draw(st.integers(1, 4)))]
    systems = [f"system-{index}" for index in range(draw(st.integers(1, 3)))]
    upstreams = [
        {
            "name": f"up-{index}",
            "system": systems[index % len(systems)],
            "instance": f"vm-{index}",
            "failure_domain": draw(st.sampled_from(domains)),
            "ip": draw(st.sampled_from(["127.0.0.1", "10.1.2.3", "fd00::7"])),
            "port": 9000 + index,
            "leaving": draw(st.booleans()),
        }
        for index in range(len(systems) * draw(st.integers(1, 3)))
    ]
    upstreams_by_system = {
        system: [upstream["name"] for upstream in upstreams if upstream["system"] == system]
        for system in systems
    }
    return {
        "revision": draw(st.integers(1, 2**53 - 1)),
        "tenant": "kingston",
        "failure_domains": domains,
        "systems": [
            {"name": name, "slots": 2, "connections": 25, "connect_ms": draw(st.floats(0, 60_000))}
            for name in systems
        ],
        "upstreams": upstreams,
        "plants": [{"name": "rockfort", "units": ["rockfort-1", "rockfort-2"]}],
        "suppliers": [{"name": "caribbean-turbine-parts"}],
        "collections": [
            {
                "name": f"collection-{index}",
                "system": system,
                "about": draw(st.lists(st.sampled_from(["rockfort", "rockfort-2"]), unique=True)),
                "shards": draw(_shards(upstreams_by_system[system])),
            }
            for index, system in enumerate(systems)
        ],
        "actions": [
            {"name": "order", "system": systems[0], "upstreams": upstreams_by_system[systems[0]]}
        ],
    }


@st.composite
def _shards(draw, upstream_names):
    split_points = draw(st.sets(st.integers(1, KEY_SPACE - 1), max_size=5))
    bounds = [0, *sorted(split_points), KEY_SPACE]
    replicas = st.lists(st.sampled_from(upstream_names), min_size=1, unique=True)
    return [
        {"lo": lo, "hi": hi, "upstreams": draw(replicas)}
        for lo, hi in zip(bounds, bounds[1:], strict=False)
    ]


def rules():
    """Return valid rules that fit each of `registers`."""
    classes = [
        {
            "name": name,
            "weight": weight,
            "prefers": prefers,
            "deadline_ms": 230,
            "least_coverage": 0.9,
            "extra_load": 0.05,
            "hedge_quantile": 0.95,
        }
        for name, weight, prefers in (("urgent", 8, "latency"), ("audit", 1, "coverage"))
    ]
    return {
        "revision": 1,
        "classes": classes,
        "default_class": "audit",
        "routes": [{"collection": "collection-0", "class": "urgent"}],
        "never_repeat": ["order"],
        "limits": {"in_flight": 64},
    }


def vms():
    """Return a valid list of VMs."""
    nodes = [
        {"role": "entry", "peer_port": 7001, "http_port": 8001},
        {"role": "relay", "peer_port": 7002, "http_port": 8002},
    ]
    entry_vm = {"name": "a-1", "failure_domain": "a", "ip": "10.0.0.1", "state": "live"}
    upstream_vm = {"name": "vm-0", "failure_domain": "a", "ip": "10.0.0.2", "state": "leaving"}
    return {"revision": 1, "vms": [entry_vm | {"nodes": nodes}, upstream_vm | {"nodes": []}]}


def values_with_places(value, place=""):
    """Iterate over all values in a document.

    :returns: Place, container and key of each.
    """
    if isinstance(value, dict):
        for key, item in value.items():
            item_place = f"{place}.{key}" if place else key
            yield item_place, value, key
            yield from values_with_places(item, item_place)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield f"{place}[{index}]", value, index
            yield from values_with_places(item, f"{place}[{index}]")
