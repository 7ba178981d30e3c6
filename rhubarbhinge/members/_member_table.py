"""Table of the known entries."""

import zlib
from collections import Counter
from collections.abc import Iterable

from rhubarbhinge.members._member import Member, MemberState, supersedes


class MemberTable:
    """The newest update about each other entry.

    :ivar digest: digest of the entries that are present, equal in two processes that know the same
        entries.
    """

    def __init__(self) -> None:
        self.digest = 0
        self._by_name: dict[str, Member] = {}
        self._present: dict[str, dict[str, Member]] = {}
        self._sorted: dict[str, list[Member]] = {}
        self._alive: Counter[str] = Counter()
        self._ended_ms: dict[str, float] = {}

    def get(self, name: str) -> Member | None:
        """Look up an entry.

        :param name: its name.
        :returns: the newest update about it, or None.
        """
        return self._by_name.get(name)

    def all(self) -> Iterable[Member]:
        """Return all known entries.

        :returns: the newest update about each, including entries that are lost or have left.
        """
        return self._by_name.values()

    def domains(self) -> Iterable[str]:
        """Return the failure domains that have entries present.

        :returns: their names.
        """
        return self._present.keys()

    def present(self, failure_domain: str) -> list[Member]:
        """Return the entries present in a failure domain.

        :param failure_domain: the failure domain.
        :returns: the entries ordered by name; the list must not be modified.
        """
        found = self._sorted.get(failure_domain)
        if found is None:
            in_domain = self._present.get(failure_domain, {})
            found = [in_domain[name] for name in sorted(in_domain)]
            self._sorted[failure_domain] = found
        return found

    def alive_count(self, failure_domain: str) -> int:
        """Count the alive entries of a failure domain, without those suspected.

        :param failure_domain: the failure domain.
        :returns: their number, from a counter rather than an iteration over the entries.
        """
        return self._alive[failure_domain]

    def present_count(self) -> int:
        """Count the entries that are present.

        :returns: their number.
        """
        return sum(len(in_domain) for in_domain in self._present.values())

    def lost_since(self, at_ms: float) -> list[Member]:
        """Return the entries that were lost recently; those that left are not among them.

        :param at_ms: start of the period.
        :returns: the entries lost since then.
        """
        recent = (self._by_name[name] for name, ended in self._ended_ms.items() if ended >= at_ms)
        return [member for member in recent if not _has_left(member)]

    def apply(self, update: Member, now_ms: float) -> bool:
        """Apply an update if it supersedes the known one.

        :param update: the update.
        :param now_ms: the current time.
        :returns: whether it was applied.
        """
        known = self._by_name.get(update.name)
        if known is not None and not supersedes(update, known):
            return False
        if known is None and not update.is_present:
            return False
        if known is not None and known.is_present:
            self._remove(known)
        self._by_name[update.name] = update
        if update.is_present:
            self._ended_ms.pop(update.name, None)
            self._insert(update)
        else:
            self._ended_ms.setdefault(update.name, now_ms)
        return True

    def purge_ended(self, before_ms: float) -> None:
        """Remove the entries that were lost or left long ago.

        :param before_ms: entries that ended before this time are removed.
        """
        for name, ended_ms in list(self._ended_ms.items()):
            if ended_ms < before_ms:
                del self._ended_ms[name], self._by_name[name]

    def _insert(self, member: Member) -> None:
        self._present.setdefault(member.failure_domain, {})[member.name] = member
        self._alive[member.failure_domain] += member.state is MemberState.ALIVE
        self._sorted.pop(member.failure_domain, None)
        self.digest ^= digest_of(member)

    def _remove(self, member: Member) -> None:
        in_domain = self._present[member.failure_domain]
        del in_domain[member.name]
        if not in_domain:
            del self._present[member.failure_domain]
        self._alive[member.failure_domain] -= member.state is MemberState.ALIVE
        self._sorted.pop(member.failure_domain, None)
        self.digest ^= digest_of(member)


def digest_of(member: Member) -> int:
    """Return an entry's contribution to the digest, which does not depend on suspicion.

    :param member: an entry that is present.
    :returns: a 32-bit number.
    """
    return zlib.crc32(f"{member.name} {member.start_id} {member.counter}".encode())


def _has_left(member: Member) -> bool:
    return member.state is MemberState.LEFT
