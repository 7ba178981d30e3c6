"""The members that this node knows, with cached queries."""

import bisect
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
        self._by_name: list[str] | None = None

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
            self._by_name = None
        self._members[claim.name] = claim
        self._changed()
        return True

    def remove(self, name: str) -> None:
        """Forget a member.

        :param name: its name.
        """
        if self._members.pop(name, None) is not None:
            self._by_name = None
            self._changed()

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
        ordered = self._in_order()
        first = bisect.bisect_right(ordered, name, key=lambda member: member.name)
        return (m for m in ordered[first:] if domain in ("", m.failure_domain))

    def _in_order(self) -> list[Member]:
        if self._by_name is None:
            self._by_name = sorted(self._members)
        return [self._members[name] for name in self._by_name]

    def _changed(self) -> None:
        self.version += 1
        self._live.clear()


def _matches(member: Member, role: str | None, domain: str | None) -> bool:
    if not is_live(member):
        return False
    if role is not None and member.role != role:
        return False
    return domain is None or member.failure_domain == domain
