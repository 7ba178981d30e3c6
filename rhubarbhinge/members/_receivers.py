"""Who gets an entry's heartbeats: the next ones in its ring, and speakers of other domains."""

from rhubarbhinge.members._member import Member, MemberState
from rhubarbhinge.members._member_table import MemberTable

RING = 2
"""Entries that follow in the ring and get each heartbeat; the second one stands in for the first
while that one is itself gone or held up."""
SPEAKERS = 2
"""Entries of a failure domain, those with the least names, that speak with other domains."""


def followers(me: Member, table: MemberTable) -> list[Member]:
    """Give the entries after one in the ring of names of its failure domain.

    :param me: the entry.
    :param table: the others.
    :returns: the next ``RING`` of them.
    """
    return _ring(me, table)[:RING]


def predecessors(me: Member, table: MemberTable) -> list[Member]:
    """Give the entries before one in the ring, whose heartbeats it gets.

    :param me: the entry.
    :param table: the others.
    :returns: the last ``RING`` of them.
    """
    return _ring(me, table)[::-1][:RING]


def speaker_rank(me: Member, table: MemberTable) -> int | None:
    """Tell an entry's place among the speakers of its failure domain.

    :param me: the entry.
    :param table: the others.
    :returns: the place from 0; None if it is none of them.
    """
    before = sum(one.name < me.name for one in _alive(table, me.failure_domain))
    return before if before < SPEAKERS else None


def far_speakers(me: Member, table: MemberTable) -> list[Member]:
    """Give the speakers of other failure domains that an entry speaks with.

    :param me: the entry.
    :param table: the others.
    :returns: one of each domain, of the same place; none if the entry is no speaker.
    """
    rank = speaker_rank(me, table)
    if rank is None:
        return []
    chosen = []
    for domain in sorted(table.domains()):
        if domain != me.failure_domain:
            speakers = _alive(table, domain)[:SPEAKERS] or table.present(domain)
            chosen.append(speakers[rank % len(speakers)])
    return chosen


def _ring(me: Member, table: MemberTable) -> list[Member]:
    near = table.present(me.failure_domain)
    after = sum(member.name < me.name for member in near)
    return near[after:] + near[:after]


def _alive(table: MemberTable, failure_domain: str) -> list[Member]:
    return [one for one in table.present(failure_domain) if one.state is MemberState.ALIVE]
