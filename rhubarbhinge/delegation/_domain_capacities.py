"""Capacities of the entries of each failure domain, and the order in which they are linked."""

import math
from typing import Protocol

from msgspec import Struct

from rhubarbhinge.delegation._capacity_split import shards_per_ms
from rhubarbhinge.members import Member
from rhubarbhinge.utils.rendezvous import SCORE_BYTES, score

UNEVEN_RATIO = 2.0
"""Ratio of the largest to the smallest capacity from which a failure domain is uneven. Below it an
even split ends at most twice as late, which reported loads don't predict any better."""
SCORE_RANGE = 1 << (8 * SCORE_BYTES)
"""Number of different scores."""


class Members(Protocol):
    """The part of the membership used here.

    :ivar me: this entry.
    """

    me: Member

    def live(self, failure_domain: str) -> list[Member]:
        """Return the other entries of a failure domain that are expected to respond."""


class _DomainView(Struct):
    """What follows from the live entries of one failure domain."""

    me: Member
    live: list[Member]
    is_uneven: bool
    ranked: list[Member]
    hashes: dict[str, float]
    own_share: float


class DomainCapacities:
    """Capacities of the entries of each failure domain, computed once per change of membership.

    Links are assigned by weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
    distributed hash tables", 2005): the entry with the least ``-ln(u) / weight`` comes first, where
    ``u`` is the hash of both names. Entries are thus linked in proportion to their capacity, and
    the loss of one moves only its own links. In a domain that is not uneven all weights are equal.

    :param members: the other entries.
    """

    def __init__(self, members: Members):
        self._members = members
        self._views: dict[str, _DomainView] = {}

    def ranked(self, failure_domain: str) -> list[Member]:
        """Return the live entries of a failure domain in the order in which they are linked.

        :param failure_domain: the failure domain.
        :returns: the entries without this one; the list must not be modified.
        """
        return self._view(failure_domain).ranked

    def is_uneven(self, failure_domain: str) -> bool:
        """Tell whether shards are divided by capacity among the entries of a failure domain.

        :param failure_domain: the failure domain.
        :returns: whether the largest known capacity is ``UNEVEN_RATIO`` times the smallest or more.
        """
        return self._view(failure_domain).is_uneven

    @property
    def own_share(self) -> float:
        """Share of this entry in the capacity of its failure domain; 0 if that is not uneven.

        It is updated by the other methods, as this one is called for each sub-query.
        """
        view = self._views.get(self._members.me.failure_domain)
        return view.own_share if view is not None else 0.0

    def _view(self, failure_domain: str) -> _DomainView:
        live, me = self._members.live(failure_domain), self._members.me
        view = self._views.get(failure_domain)
        if view is None or view.me is not me or view.live != live:
            known_hashes = view.hashes if view is not None and view.me.name == me.name else {}
            view = _make_view(me, failure_domain, live, known_hashes)
            self._views[failure_domain] = view
        return view


def _make_view(
    me: Member, failure_domain: str, live: list[Member], known_hashes: dict[str, float]
) -> _DomainView:
    is_own_domain = me.failure_domain == failure_domain
    entries = [*live, me] if is_own_domain else live
    rates = {member.name: shards_per_ms(member.capacity) for member in entries}
    known = [rate for rate in rates.values() if rate]
    smallest = min(known, default=0.0)
    is_uneven = bool(known) and max(known) >= UNEVEN_RATIO * smallest
    weights = {name: (rate or smallest) if is_uneven else 1.0 for name, rate in rates.items()}
    hashes = {
        member.name: known_hashes.get(member.name) or _exponential_hash(me.name, member.name)
        for member in live
    }
    ranked = sorted(live, key=lambda member: hashes[member.name] / weights[member.name])
    own_share = 0.0
    if is_uneven and is_own_domain:
        own_share = weights[me.name] / sum(weights.values())
    return _DomainView(me, live, is_uneven, ranked, hashes, own_share)


def _exponential_hash(requester: str, name: str) -> float:
    """Return an exponentially distributed number that depends only on two names."""
    number = int.from_bytes(score(requester, name), "little")
    return -math.log((number + 0.5) / SCORE_RANGE)
