"""Assignment of each system's searchers to a small cell of relays in a failure domain.

A query is sent to many searchers of one system. With searchers spread over all relays of a large
failure domain, each sub-query would need its own message; a small cell lets them share messages.
"""

import heapq
from collections.abc import Mapping, Sequence
from math import ceil

import xxhash

from rhubarbhinge.routing._ownership import owners, rendezvous

#: Minimum size of a cell, so that the loss of one relay leaves another.
_MIN_CELL_SIZE = 2
#: Maximum load of a relay, as a multiple of its even share of searchers. 1.25 is the usual bound of
#: consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
_LOAD_BOUND = 1.25

Cells = Mapping[str, tuple[str, ...]]


def cells(searchers_by_system: Mapping[str, int], relays: Sequence[str]) -> Cells:
    """Assign a cell of relays to each system.

    Systems are processed in order of name; each gets the relays that rank highest for it by
    rendezvous hashing and are below the load bound. The result depends on the arguments only, so
    nodes with the same members agree without communication. Losing a relay changes its own
    cells and few others.

    :param searchers_by_system: number of searchers of each system in the failure domain.
    :param relays: names of the live relays of the failure domain.
    :returns: the relays of each system's cell, by rank.
    """
    if not relays:
        return dict.fromkeys(searchers_by_system, ())
    total = sum(searchers_by_system.values())
    per_relay = max(1.0, total / len(relays))
    max_load = ceil(per_relay * _LOAD_BOUND)
    load = dict.fromkeys(relays, 0.0)
    found = {}
    for system in sorted(searchers_by_system):
        count = searchers_by_system[system]
        size = min(len(relays), max(_MIN_CELL_SIZE, ceil(count / per_relay)))
        chosen = _choose(system, relays, load, max_load, size, count / size)
        for relay in chosen:
            load[relay] += count / size
        found[system] = chosen
    return found


def _choose(
    system: str,
    relays: Sequence[str],
    load: Mapping[str, float],
    max_load: float,
    size: int,
    share: float,
) -> tuple[str, ...]:
    free = [relay for relay in relays if load[relay] + share <= max_load]
    chosen = rendezvous(system, free, size) if free else ()
    if len(chosen) == size:
        return chosen
    rest = [relay for relay in relays if relay not in chosen]
    seed = xxhash.xxh64_intdigest(system.encode())
    least = heapq.nsmallest(
        size - len(chosen),
        rest,
        key=lambda relay: (load[relay], xxhash.xxh64_intdigest(relay.encode(), seed), relay),
    )
    return chosen + tuple(least)


class CellTable:
    """Owners of searchers for one register and one version of the membership.

    Owners are computed on first access.

    :param searchers_by_system: number of searchers of each system in the failure domain.
    :param relays: names of the live relays of the failure domain.
    """

    def __init__(self, searchers_by_system: Mapping[str, int], relays: Sequence[str]) -> None:
        self._cells = cells(searchers_by_system, relays)
        self._owners: dict[str, str | None] = {}

    def owner(self, system: str, upstream_name: str) -> str | None:
        """Return a searcher's owner.

        :param system: the searcher's system.
        :param upstream_name: its name in the register.
        :returns: name of the relay, or None if there is none.
        """
        if upstream_name not in self._owners:
            self._owners[upstream_name] = owners(upstream_name, self._cells[system])[0]
        return self._owners[upstream_name]
