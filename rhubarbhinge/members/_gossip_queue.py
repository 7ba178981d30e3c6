"""Queue of membership updates to gossip."""

from rhubarbhinge.members._heartbeat import MAX_UPDATES
from rhubarbhinge.members._member import Member

TRANSMISSIONS = 4
"""Rounds in which each update is sent, to three entries each. With 12 transmissions to random
receivers by every entry that gets the update, one entry in 160,000 misses it (e**-12); with 6, one
in 400, which in a fleet of 73 entries is every fifth update. An entry that missed an update finds
that its digest differs."""


class GossipQueue:
    """Queue of updates to gossip, with the newest update about each entry.

    An update leaves the queue after ``TRANSMISSIONS`` rounds.
    """

    def __init__(self) -> None:
        self._remaining: dict[str, tuple[Member, int]] = {}

    def __bool__(self) -> bool:
        return bool(self._remaining)

    def add(self, member: Member) -> None:
        """Queue an update, in place of an older one about the same entry.

        :param member: the update.
        """
        self._remaining[member.name] = (member, TRANSMISSIONS)

    def next_round(self) -> tuple[tuple[Member, ...], tuple[Member, ...]]:
        """Take the updates to send in one round.

        :returns: the updates, and those of them that are sent for the first time.
        """
        chosen = [
            entry for entry, _ in zip(self._remaining.values(), range(MAX_UPDATES), strict=False)
        ]
        for member, rounds in chosen:
            if rounds > 1:
                self._remaining[member.name] = (member, rounds - 1)
            else:
                del self._remaining[member.name]
        first = tuple(member for member, rounds in chosen if rounds == TRANSMISSIONS)
        return tuple(member for member, _ in chosen), first
