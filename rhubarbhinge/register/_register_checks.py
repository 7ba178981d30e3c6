"""Checks across the fields of a register: unique names, references, shard ranges."""

from collections.abc import Iterator

from rhubarbhinge.register import _lenient as lenient
from rhubarbhinge.register._faults import FaultLog
from rhubarbhinge.register._fields import format_value
from rhubarbhinge.register._inventory import KEY_SPACE


def check_register(log: FaultLog, raw: object) -> None:
    """Report inconsistencies between fields.

    :param log: Receives the faults.
    :param raw: The parsed document, of any shape.
    """
    _check_unique_names(log, raw)
    _check_systems(log, raw)
    _check_upstreams(log, raw)
    _check_collections(log, raw)
    _check_actions(log, raw)


def _check_unique_names(log: FaultLog, raw: object) -> None:
    lenient.check_unique(log, lenient.strings(raw, "failure_domains"), "the failure domain")
    for key, label in (
        ("systems", "the system"),
        ("upstreams", "the upstream"),
        ("collections", "the collection"),
        ("actions", "the action"),
    ):
        lenient.check_unique(log, lenient.placed_names(raw, key), label)
    lenient.check_unique(log, _subjects(raw), "the plant, unit or supplier")


def _subjects(raw: object) -> Iterator[lenient.PlacedString]:
    """Iterate over the names that a collection can be about: plants, units and suppliers."""
    for place, plant in lenient.objects(raw, "plants"):
        yield from lenient.string(plant, "name", place)
        yield from lenient.strings(plant, "units", place)
    yield from lenient.placed_names(raw, "suppliers")


def _check_systems(log: FaultLog, raw: object) -> None:
    for place, system in lenient.objects(raw, "systems"):
        slots, connections = system.get("slots"), system.get("connections")
        if type(slots) is int and type(connections) is int and slots > connections:
            message = f"{slots} slots cannot be used over {connections} connections"
            todo = "allow at least as many connections as slots"
            log.add(f"{place}.slots", "slots-over-connections", message, todo)


def _check_upstreams(log: FaultLog, raw: object) -> None:
    systems = lenient.objects_by_name(raw, "systems")
    domains = {value for _, value in lenient.strings(raw, "failure_domains")}
    for place, upstream in lenient.objects(raw, "upstreams"):
        system = lenient.string(upstream, "system", place)
        lenient.check_references(log, system, systems, "system", "systems")
        domain = lenient.string(upstream, "failure_domain", place)
        lenient.check_references(log, domain, domains, "failure domain", "failure_domains")
    _check_addresses(log, raw)
    _check_instances(log, raw)


def _check_addresses(log: FaultLog, raw: object) -> None:
    first_places: dict[tuple[str, int], str] = {}
    for place, upstream in lenient.objects(raw, "upstreams"):
        ip, port = upstream.get("ip"), upstream.get("port")
        if not isinstance(ip, str) or type(port) is not int:
            continue
        if (ip, port) in first_places:
            message = f"{format_value(ip)} port {port} is already used at {first_places[ip, port]}"
            log.add(
                f"{place}.port", "duplicate-address", message, "correct the IP address or the port"
            )
        first_places.setdefault((ip, port), place)


def _check_instances(log: FaultLog, raw: object) -> None:
    domains: dict[str, str] = {}
    for place, upstream in lenient.objects(raw, "upstreams"):
        instance, domain = upstream.get("instance"), upstream.get("failure_domain")
        if not isinstance(instance, str) or not isinstance(domain, str):
            continue
        first_domain = domains.setdefault(instance, domain)
        if first_domain != domain:
            message = (
                f"the instance {format_value(instance)} is also in {format_value(first_domain)}"
            )
            todo = "give all upstreams of an instance the same failure domain"
            log.add(f"{place}.failure_domain", "split-instance", message, todo)


def _check_collections(log: FaultLog, raw: object) -> None:
    systems = lenient.objects_by_name(raw, "systems")
    upstreams = lenient.objects_by_name(raw, "upstreams")
    subjects = {value for _, value in _subjects(raw)}
    for place, collection in lenient.objects(raw, "collections"):
        system = lenient.string(collection, "system", place)
        lenient.check_references(log, system, systems, "system", "systems")
        about = list(lenient.strings(collection, "about", place))
        defined_in = "plants, units or suppliers"
        lenient.check_references(log, about, subjects, "plant, unit or supplier", defined_in)
        lenient.check_unique(log, about, "the subject")
        for shard_place, shard in lenient.objects(collection, "shards", place):
            _check_listed_upstreams(log, collection, shard, shard_place, upstreams)
        _check_ranges(log, collection, place)


def _check_actions(log: FaultLog, raw: object) -> None:
    systems = lenient.objects_by_name(raw, "systems")
    upstreams = lenient.objects_by_name(raw, "upstreams")
    for place, action in lenient.objects(raw, "actions"):
        system = lenient.string(action, "system", place)
        lenient.check_references(log, system, systems, "system", "systems")
        _check_listed_upstreams(log, action, action, place, upstreams)


def _check_listed_upstreams(
    log: FaultLog, owner: dict, holder: dict, place: str, upstreams: dict[str, dict]
) -> None:
    """Check the upstreams that `holder` lists against the system that `owner` names."""
    listed = list(lenient.strings(holder, "upstreams", place))
    lenient.check_references(log, listed, upstreams, "upstream", "upstreams")
    lenient.check_unique(log, listed, "the upstream")
    for upstream_place, upstream_name in listed:
        system = upstreams.get(upstream_name, {}).get("system", owner.get("system"))
        if system != owner.get("system"):
            message = (
                f"the upstream {format_value(upstream_name)} "
                f"belongs to the system {format_value(system)}"
            )
            todo = f"list upstreams of {format_value(owner.get('system'))}"
            log.add(upstream_place, "wrong-system", message, todo)


def _check_ranges(log: FaultLog, collection: dict, place: str) -> None:
    """Check that the shards cover the key space once, in ascending order."""
    covered_to, shard_place = 0, None
    for shard_place, shard in lenient.objects(collection, "shards", place):
        lo, hi = shard.get("lo"), shard.get("hi")
        if type(lo) is not int or type(hi) is not int:
            return
        _check_range(log, shard_place, lo, hi, covered_to)
        covered_to = max(covered_to, hi)
    if shard_place is not None and covered_to < KEY_SPACE:
        message = f"no shard covers {covered_to} to {KEY_SPACE}"
        log.add(f"{shard_place}.hi", "gap", message, f"end the last shard at {KEY_SPACE}")


def _check_range(log: FaultLog, shard_place: str, lo: int, hi: int, covered_to: int) -> None:
    if lo >= hi:
        message = f"the range {format_value(lo)} to {format_value(hi)} is empty"
        log.add(f"{shard_place}.lo", "empty-range", message, "make lo less than hi")
    elif lo > covered_to:
        message = f"no shard covers {covered_to} to {format_value(lo)}"
        todo = "list shards in ascending order, each starting where the previous one ends"
        log.add(f"{shard_place}.lo", "gap", message, todo)
    elif lo < covered_to:
        message = (
            f"the range starts at {format_value(lo)}, before the previous one ends at {covered_to}"
        )
        todo = "list shards in ascending order, each starting where the previous one ends"
        log.add(f"{shard_place}.lo", "overlap", message, todo)
