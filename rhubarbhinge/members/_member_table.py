"""The entries that are known, and the newest claim about each."""

import zlib
from collections import Counter
from collections.abc import Iterable

from rhubarbhinge.members._member import Member, MemberState, supersedes


class MemberTable:
    """The newest claim about each entry, this one left out.

    :ivar digest: changes with the entries that are present; equal in two processes that know the
        same ones.
    """

    def __init__(self) -> None:
        self.digest = 0
        self._by_name: dict[str, Member] = {}
        self._present: dict[str, dict[str, Member]] = {}
        self._sorted: dict[str, list[Member]] = {}
        self._alive: Counter[str] = Counter()
        self._ended_ms: dict[str, float] = {}

    def get(self, name: str) -> Member | None:
        """Look an entry up.

        :param name: its name.
        :returns: the newest claim, or None.
        """
        return self._by_name.get(name)

    def all(self) -> Iterable[Member]:
        """Give all entries that are known.

        :returns: the newest claim about each, those that have ended included.
        """
        return self._by_name.values()

    def domains(self) -> Iterable[str]:
        """Give the failure domains with entries that are present.

        :returns: their names.
        """
        return self._present.keys()

    def present(self, failure_domain: str) -> list[Member]:
        """Give the entries of a failure domain that are present.

        :param failure_domain: the failure domain.
        :returns: the entries by name; not to be changed.
        """
        found = self._sorted.get(failure_domain)
        if found is None:
            in_domain = self._present.get(failure_domain, {})
            found = [in_domain[name] for name in sorted(in_domain)]
            self._sorted[failure_domain] = found
        return found

    def alive_count(self, failure_domain: str) -> int:
        """Count the entries of a failure domain that are present and not suspected.

        :param failure_domain: the failure domain.
        :returns: their number, kept up to date without a walk over all.
        """
        return self._alive[failure_domain]

    def present_count(self) -> int:
        """Count the entries that are present.

        :returns: their number.
        """
        return sum(len(in_domain) for in_domain in self._present.values())

    def ended_since(self, at_ms: float) -> list[Member]:
        """Give the entries that were lost lately and did not say that they leave.

        :param at_ms: the time.
        :returns: those that were lost since then.
        """
        recent = (self._by_name[name] for name, ended in self._ended_ms.items() if ended >= at_ms)
        return [member for member in recent if not _has_left(member)]

    def adopt(self, claim: Member, now_ms: float) -> bool:
        """Take a claim if it prevails over what is known.

        :param claim: the claim.
        :param now_ms: the time.
        :returns: whether it was taken.
        """
        known = self._by_name.get(claim.name)
        if known is not None and not supersedes(claim, known):
            return False
        if known is None and not claim.is_present:
            return False
        if known is not None and known.is_present:
            self._take_out(known)
        self._by_name[claim.name] = claim
        if claim.is_present:
            self._ended_ms.pop(claim.name, None)
            self._put_in(claim)
        else:
            self._ended_ms.setdefault(claim.name, now_ms)
        return True

    def forget_ended(self, before_ms: float) -> None:
        """Forget the entries that ended long ago.

        :param before_ms: those that ended before this time.
        """
        for name, ended_ms in list(self._ended_ms.items()):
            if ended_ms < before_ms:
                del self._ended_ms[name], self._by_name[name]

    def _put_in(self, member: Member) -> None:
        self._present.setdefault(member.failure_domain, {})[member.name] = member
        self._alive[member.failure_domain] += member.state is MemberState.ALIVE
        self._sorted.pop(member.failure_domain, None)
        self.digest ^= digest_of(member)

    def _take_out(self, member: Member) -> None:
        in_domain = self._present[member.failure_domain]
        del in_domain[member.name]
        if not in_domain:
            del self._present[member.failure_domain]
        self._alive[member.failure_domain] -= member.state is MemberState.ALIVE
        self._sorted.pop(member.failure_domain, None)
        self.digest ^= digest_of(member)


def digest_of(member: Member) -> int:
    """Give an entry's part of the digest; whether it is suspected makes no difference.

    :param member: an entry that is present.
    :returns: 32 bits.
    """
    return zlib.crc32(f"{member.name} {member.start_id} {member.counter}".encode())


def _has_left(member: Member) -> bool:
    return member.state is MemberState.LEFT
