"""Messages that a query makes by number of relays: one rendezvous over all, or cells."""

import statistics
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from random import Random

from rhubarbhinge.routing import CellTable, OwnerTable
from tools.slopes._querycost import PARTS
from tools.slopes._series import REPEATS, Series
from tools.slopes.target import TARGET

#: Searchers of a system in each failure domain.
SYSTEM_SEARCHERS = 64
#: Relays of one rack.
RACK = 15
_RELAYS = (20, 112, 564)
_QUERIES = 20
_UNITS = {
    "messages": "messages a query of 150 parts",
    "busiest relay": "searchers",
    "all owners found": "ms of CPU",
    "moved by the loss of a relay": "searchers",
    "moved by the loss of a rack": "searchers",
}

_Owner = Callable[[str, str], str]
_Make = Callable[[dict[str, int], Sequence[str]], _Owner]


def owner_costs() -> Iterator[Series]:
    """Measure both ways by relays of a failure domain.

    :returns: the series; the repeats differ in which relays are lost and what is asked.
    """
    for way, make in (("rendezvous", _rendezvous), ("cells", _cells)):
        found: dict[str, dict[float, list[float]]] = defaultdict(dict)
        for relays in _RELAYS:
            for name, values in _values(make, relays).items():
                found[name][relays] = values
        for name, points in found.items():
            yield Series(f"{way}, {name}", "relays a failure domain", _UNITS[name], points)


def _rendezvous(systems: dict[str, int], relays: Sequence[str]) -> _Owner:
    table = OwnerTable(relays)
    return lambda system, name: table.owners(name)[0]


def _cells(systems: dict[str, int], relays: Sequence[str]) -> _Owner:
    return CellTable(systems, relays).owner


def _values(make: _Make, relays: int) -> dict[str, list[float]]:
    count = max(1, round(relays * TARGET.searchers_a_relay() / SYSTEM_SEARCHERS))
    systems = {f"system-{number}": SYSTEM_SEARCHERS for number in range(count)}
    names = [f"kgn-a-{number}/relay" for number in range(relays)]
    started_ns = time.process_time_ns()
    before = _all_owners(make(systems, names), systems)
    find_ms = (time.process_time_ns() - started_ns) / 1e6
    rng = Random(1)
    return {
        "messages": [_messages(before, list(systems), rng) for _ in range(REPEATS)],
        "busiest relay": [max(Counter(before.values()).values())] * REPEATS,
        "all owners found": [find_ms] * REPEATS,
        "moved by the loss of a relay": _moved(make, systems, names, before, 1, rng),
        "moved by the loss of a rack": _moved(make, systems, names, before, RACK, rng),
    }


def _all_owners(owner: _Owner, systems: dict[str, int]) -> dict[tuple[str, int], str]:
    return {
        (system, number): owner(system, f"{system}-{number}")
        for system, count in systems.items()
        for number in range(count)
    }


def _messages(owners: dict[tuple[str, int], str], systems: list[str], rng: Random) -> float:
    """Count the relays that a query reaches; each failure domain serves its share of the parts."""
    return statistics.mean(_reached(owners, systems, rng) for _ in range(_QUERIES))


def _reached(owners: dict[tuple[str, int], str], systems: list[str], rng: Random) -> int:
    reached = 0
    for domain in range(TARGET.domains):
        system = rng.choice(systems)
        parts = PARTS // TARGET.domains + (domain < PARTS % TARGET.domains)
        numbers = rng.sample(range(SYSTEM_SEARCHERS), parts)
        reached += len({owners[system, number] for number in numbers})
    return reached


def _moved(
    make: _Make,
    systems: dict[str, int],
    names: list[str],
    before: dict[tuple[str, int], str],
    lost: int,
    rng: Random,
) -> list[float]:
    return [_moved_once(make, systems, names, before, lost, rng) for _ in range(REPEATS)]


def _moved_once(
    make: _Make,
    systems: dict[str, int],
    names: list[str],
    before: dict[tuple[str, int], str],
    lost: int,
    rng: Random,
) -> int:
    gone = set(rng.sample(names, lost))
    if make is _rendezvous:  # moves exactly what the lost relays owned
        return sum(owner in gone for owner in before.values())
    after = _all_owners(make(systems, [name for name in names if name not in gone]), systems)
    return sum(after[key] != owner for key, owner in before.items())
