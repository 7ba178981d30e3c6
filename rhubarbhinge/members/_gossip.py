"""News about entries that are still to be told."""

from rhubarbhinge.members._heartbeat import MOST_UPDATES
from rhubarbhinge.members._member import Member

ROUNDS = 4
"""How often each piece of news is sent on, to three entries each time. With 12 receivers drawn at
random by everyone who hears it, one in 160,000 hears nothing (e**-12), and with 6 one in 400, which
at 73 entries is every fifth change. Who misses it finds a difference in the digests."""


class Gossip:
    """News about entries that are still to be told, the newest claim about each."""

    def __init__(self) -> None:
        self._left: dict[str, tuple[Member, int]] = {}

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, member: Member) -> None:
        """Take a piece of news.

        :param member: the claim.
        """
        self._left[member.name] = (member, ROUNDS)

    def next_round(self) -> tuple[tuple[Member, ...], tuple[Member, ...]]:
        """Take what is told in one round.

        :returns: the claims, and those of them that are told for the first time.
        """
        chosen = [entry for entry, _ in zip(self._left.values(), range(MOST_UPDATES), strict=False)]
        for member, rounds in chosen:
            if rounds > 1:
                self._left[member.name] = (member, rounds - 1)
            else:
                del self._left[member.name]
        first = tuple(member for member, rounds in chosen if rounds == ROUNDS)
        return tuple(member for member, _ in chosen), first
