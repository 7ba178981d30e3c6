"""Whom a node tells of a change.

Each node has its own few neighbours, so that links are kept and not opened anew for each change.
The members of the failure domain form a ring in the order of a hash; the next on the ring is a
neighbour, so that a chain of notices reaches everyone, and a few others, so that it does so in few
steps.
"""

from rhubarbhinge.control._dissemination_settings import DisseminationSettings
from rhubarbhinge.control._membership import Membership
from rhubarbhinge.control._rendezvous import best, rank
from rhubarbhinge.wire._member import Member

RING = "ring"


class Neighbours:
    """Neighbours by rendezvous rank, derived anew when the membership changed.

    :param membership: whom this node knows.
    :param settings: how many to choose.
    """

    def __init__(self, membership: Membership, settings: DisseminationSettings) -> None:
        self._membership = membership
        self._settings = settings
        self._version = -1
        self._near: list[str] = []
        self._far: list[str] = []

    def near(self) -> list[str]:
        """List the neighbours in the own failure domain.

        :returns: names.
        """
        self._refresh()
        return list(self._near)

    def far(self) -> list[str]:
        """List the neighbours in the other failure domains.

        :returns: names.
        """
        self._refresh()
        return list(self._far)

    def _refresh(self) -> None:
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        me = self._membership.self_member
        live = [member for member in self._membership.live() if member.name != me.name]
        near = tuple(m for m in live if m.failure_domain == me.failure_domain)
        chosen = [m.name for m in best(me.name, near, self._settings.neighbours)]
        following = _next_on_ring(me.name, near)
        if following is not None and following not in chosen:
            chosen.append(following)
        self._near = chosen
        self._far = self._choose_far(me.failure_domain, live)

    def _choose_far(self, own_domain: str, live: list[Member]) -> list[str]:
        name = self._membership.self_member.name
        domains = sorted({member.failure_domain for member in live} - {own_domain})
        chosen: list[str] = []
        for domain in domains:
            members = tuple(m for m in live if m.failure_domain == domain)
            found = best(name, members, self._settings.remote_neighbours)
            chosen += [member.name for member in found]
        return chosen


def _next_on_ring(name: str, members: tuple[Member, ...]) -> str | None:
    if not members:
        return None
    own = rank(RING, name)
    places = sorted((rank(RING, member.name), member.name) for member in members)
    above = [other for place, other in places if place > own]
    return above[0] if above else places[0][1]
