"""The members that this node knows, with cached queries."""

import bisect
from collections import Counter
from collections.abc import Iterator

from rhubarbhinge.control._member_state import is_live, supersedes
from rhubarbhinge.wire._member import Member


class MemberTable:
    """Newest claim about each known member.

    ``version`` grows with every change, so that callers can cache what they derive.
    """

    def __init__(self) -> None:
        self.version = 0
        self._members: dict[str, Member] = {}
        self._live: dict[tuple[str | None, str | None], tuple[Member, ...]] = {}
        self._names: list[str] = []
        self._live_counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._members)

    def get(self, name: str) -> Member | None:
        """Look a member up.

        :param name: its name.
        :returns: the member in any state, or nothing.
        """
        return self._members.get(name)

    def adopt(self, claim: Member) -> bool:
        """Take a claim if it prevails over what is known.

        :param claim: the claim.
        :returns: true if the table changed.
        """
        known = self._members.get(claim.name)
        if known is not None and not supersedes(claim, known):
            return False
        if known is None:
            bisect.insort(self._names, claim.name)
        self._count(known, -1)
        self._count(claim, 1)
        self._members[claim.name] = claim
        self._changed()
        return True

    def remove(self, name: str) -> None:
        """Forget a member.

        :param name: its name.
        """
        known = self._members.pop(name, None)
        if known is None:
            return
        self._names.remove(name)
        self._count(known, -1)
        self._changed()

    def live_count(self, domain: str) -> int:
        """Count the members of a failure domain that may get new work.

        :param domain: the failure domain.
        :returns: their number, kept up to date without a walk over all.
        """
        return self._live_counts[domain]

    def live(self, role: str | None, domain: str | None) -> tuple[Member, ...]:
        """List the members that may get new work.

        :param role: only this role, or any.
        :param domain: only this failure domain, or any.
        :returns: members in the order of their names; cached until the next change.
        """
        found = self._live.get((role, domain))
        if found is None:
            found = tuple(m for m in self._in_order() if _matches(m, role, domain))
            self._live[role, domain] = found
        return found

    def members(self) -> tuple[Member, ...]:
        """List all known members in any state.

        :returns: members in the order of their names.
        """
        return tuple(self._in_order())

    def after(self, name: str, domain: str) -> Iterator[Member]:
        """Walk the members that follow a name.

        :param name: members above this name are given.
        :param domain: only this failure domain; empty for any.
        :returns: members in the order of their names.
        """
        first = bisect.bisect_right(self._names, name)
        following = (self._members[found] for found in self._names[first:])
        return (member for member in following if domain in ("", member.failure_domain))

    def _in_order(self) -> list[Member]:
        return [self._members[name] for name in self._names]

    def _count(self, member: Member | None, change: int) -> None:
        if member is not None and is_live(member):
            self._live_counts[member.failure_domain] += change

    def _changed(self) -> None:
        self.version += 1
        self._live.clear()


def _matches(member: Member, role: str | None, domain: str | None) -> bool:
    if not is_live(member):
        return False
    if role is not None and member.role != role:
        return False
    return domain is None or member.failure_domain == domain
