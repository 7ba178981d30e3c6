"""Checks across the fields of a register: unique names, references, shard ranges."""

from collections.abc import Iterator

from rhubarbhinge.register import _raw as raws
from rhubarbhinge.register._faults import FaultLog
from rhubarbhinge.register._fields import shown
from rhubarbhinge.register._inventory import KEY_SPACE


def check_register(log: FaultLog, raw: object) -> None:
    """Report what is wrong between fields.

    :param log: Gets the faults.
    :param raw: The parsed document, of any shape.
    """
    _check_unique_names(log, raw)
    _check_systems(log, raw)
    _check_upstreams(log, raw)
    _check_collections(log, raw)
    _check_actions(log, raw)


def _check_unique_names(log: FaultLog, raw: object) -> None:
    raws.check_unique(log, raws.texts(raw, "failure_domains"), "the failure domain")
    for key, what in (
        ("systems", "the system"),
        ("upstreams", "the upstream"),
        ("collections", "the collection"),
        ("actions", "the action"),
    ):
        raws.check_unique(log, raws.placed_names(raw, key), what)
    raws.check_unique(log, _subjects(raw), "the plant, unit or supplier")


def _subjects(raw: object) -> Iterator[raws.Placed]:
    """Go through the names that a collection can be about: plants, units and suppliers."""
    for place, plant in raws.objects(raw, "plants"):
        yield from raws.text(plant, "name", place)
        yield from raws.texts(plant, "units", place)
    yield from raws.placed_names(raw, "suppliers")


def _check_systems(log: FaultLog, raw: object) -> None:
    for place, system in raws.objects(raw, "systems"):
        slots, connections = system.get("slots"), system.get("connections")
        if type(slots) is int and type(connections) is int and slots > connections:
            message = f"{slots} slots can't be used over {connections} connections"
            todo = "allow at least as many connections as slots"
            log.add(f"{place}.slots", "slots-over-connections", message, todo)


def _check_upstreams(log: FaultLog, raw: object) -> None:
    systems = raws.names(raw, "systems")
    domains = {value for _, value in raws.texts(raw, "failure_domains")}
    for place, upstream in raws.objects(raw, "upstreams"):
        system = raws.text(upstream, "system", place)
        raws.check_known(log, system, systems, "system", "systems")
        domain = raws.text(upstream, "failure_domain", place)
        raws.check_known(log, domain, domains, "failure domain", "failure_domains")
    _check_addresses(log, raw)
    _check_instances(log, raw)


def _check_addresses(log: FaultLog, raw: object) -> None:
    first: dict[tuple[str, int], str] = {}
    for place, upstream in raws.objects(raw, "upstreams"):
        ip, port = upstream.get("ip"), upstream.get("port")
        if not isinstance(ip, str) or type(port) is not int:
            continue
        if (ip, port) in first:
            message = f"{shown(ip)} port {port} stands already at {first[ip, port]}"
            log.add(f"{place}.port", "duplicate-address", message, "correct the ip or the port")
        first.setdefault((ip, port), place)


def _check_instances(log: FaultLog, raw: object) -> None:
    domains: dict[str, str] = {}
    for place, upstream in raws.objects(raw, "upstreams"):
        instance, domain = upstream.get("instance"), upstream.get("failure_domain")
        if not isinstance(instance, str) or not isinstance(domain, str):
            continue
        known = domains.setdefault(instance, domain)
        if known != domain:
            message = f"the instance {shown(instance)} is in {shown(known)} as well"
            todo = "give all upstreams of an instance the same failure domain"
            log.add(f"{place}.failure_domain", "split-instance", message, todo)


def _check_collections(log: FaultLog, raw: object) -> None:
    systems = raws.names(raw, "systems")
    upstreams = raws.names(raw, "upstreams")
    subjects = {value for _, value in _subjects(raw)}
    for place, collection in raws.objects(raw, "collections"):
        system = raws.text(collection, "system", place)
        raws.check_known(log, system, systems, "system", "systems")
        about = list(raws.texts(collection, "about", place))
        listed = "plants, units or suppliers"
        raws.check_known(log, about, subjects, "plant, unit or supplier", listed)
        raws.check_unique(log, about, "the subject")
        for at, shard in raws.objects(collection, "shards", place):
            _check_members(log, collection, shard, at, upstreams)
        _check_ranges(log, collection, place)


def _check_actions(log: FaultLog, raw: object) -> None:
    systems = raws.names(raw, "systems")
    upstreams = raws.names(raw, "upstreams")
    for place, action in raws.objects(raw, "actions"):
        system = raws.text(action, "system", place)
        raws.check_known(log, system, systems, "system", "systems")
        _check_members(log, action, action, place, upstreams)


def _check_members(
    log: FaultLog, owner: dict, holder: dict, place: str, upstreams: dict[str, dict]
) -> None:
    """Check the upstreams that `holder` lists for its `owner`, which names the system."""
    members = list(raws.texts(holder, "upstreams", place))
    raws.check_known(log, members, upstreams, "upstream", "upstreams")
    raws.check_unique(log, members, "the upstream")
    for at, member in members:
        system = upstreams.get(member, {}).get("system", owner.get("system"))
        if system != owner.get("system"):
            message = f"the upstream {shown(member)} is of the system {shown(system)}"
            todo = f"list upstreams of {shown(owner.get('system'))}"
            log.add(at, "wrong-system", message, todo)


def _check_ranges(log: FaultLog, collection: dict, place: str) -> None:
    """Check that the shards cover the key space once, in ascending order."""
    expected, at = 0, None
    for at, shard in raws.objects(collection, "shards", place):
        lo, hi = shard.get("lo"), shard.get("hi")
        if type(lo) is not int or type(hi) is not int:
            return
        _check_range(log, at, lo, hi, expected)
        expected = max(expected, hi)
    if at is not None and expected < KEY_SPACE:
        message = f"no shard covers {expected} to {KEY_SPACE}"
        log.add(f"{at}.hi", "gap", message, f"end the last shard at {KEY_SPACE}")


def _check_range(log: FaultLog, at: str, lo: int, hi: int, expected: int) -> None:
    if lo >= hi:
        message = f"the range {shown(lo)} to {shown(hi)} is empty"
        log.add(f"{at}.lo", "empty-range", message, "make lo less than hi")
    elif lo > expected:
        message = f"no shard covers {expected} to {shown(lo)}"
        todo = "list shards in ascending order, each from where the last one ends"
        log.add(f"{at}.lo", "gap", message, todo)
    elif lo < expected:
        message = f"the range begins at {shown(lo)}, before the last one ends at {expected}"
        todo = "list shards in ascending order, each from where the last one ends"
        log.add(f"{at}.lo", "overlap", message, todo)
