"""Receivers of an entry's heartbeats: its ring successors, and representatives of other domains."""

from rhubarbhinge.members._member import Member, MemberState
from rhubarbhinge.members._member_table import MemberTable

RING_SUCCESSORS = 2
"""Ring successors that get each heartbeat; the second covers for the first while that one is down
or stalled."""
REPRESENTATIVES = 2
"""Representatives of a failure domain, its entries with the lowest names, which exchange heartbeats
with other domains."""


def ring_successors(me: Member, table: MemberTable) -> list[Member]:
    """Return the successors of an entry in the ring, its failure domain ordered by name.

    :param me: the entry.
    :param table: the other entries.
    :returns: the next ``RING_SUCCESSORS`` entries.
    """
    return _ring(me, table)[:RING_SUCCESSORS]


def ring_predecessors(me: Member, table: MemberTable) -> list[Member]:
    """Return the predecessors of an entry in the ring, from which it gets heartbeats.

    :param me: the entry.
    :param table: the other entries.
    :returns: the previous ``RING_SUCCESSORS`` entries.
    """
    return _ring(me, table)[::-1][:RING_SUCCESSORS]


def representative_rank(me: Member, table: MemberTable) -> int | None:
    """Return an entry's rank among the representatives of its failure domain.

    :param me: the entry.
    :param table: the other entries.
    :returns: the rank from 0; None if it is not a representative.
    """
    rank = sum(one.name < me.name for one in _alive(table, me.failure_domain))
    return rank if rank < REPRESENTATIVES else None


def remote_representatives(me: Member, table: MemberTable) -> list[Member]:
    """Return the representatives of other failure domains that get an entry's heartbeats.

    :param me: the entry.
    :param table: the other entries.
    :returns: one entry of each domain, of the same rank; none if the entry is not a representative.
    """
    rank = representative_rank(me, table)
    if rank is None:
        return []
    chosen = []
    for domain in sorted(table.domains()):
        if domain != me.failure_domain:
            candidates = _alive(table, domain)[:REPRESENTATIVES] or table.present(domain)
            chosen.append(candidates[rank % len(candidates)])
    return chosen


def _ring(me: Member, table: MemberTable) -> list[Member]:
    local = table.present(me.failure_domain)
    index = sum(member.name < me.name for member in local)
    return local[index:] + local[:index]


def _alive(table: MemberTable, failure_domain: str) -> list[Member]:
    return [one for one in table.present(failure_domain) if one.state is MemberState.ALIVE]
