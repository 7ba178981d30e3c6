"""Queue of membership updates that ride on probe messages."""

import math

from rhubarbhinge.control._message_bytes import WORD_BYTES, struct_bytes
from rhubarbhinge.wire._member import Member

SENDS_PER_DOUBLING = 3


class UpdateQueue:
    """Holds the newest update of each member until it was sent often enough.

    An update is sent ``SENDS_PER_DOUBLING * log2(members)`` times, which reaches all members with
    high probability (Das, Gupta, Motivala: SWIM, 2002, section 4.1).
    """

    def __init__(self) -> None:
        self._updates: dict[str, tuple[Member, int]] = {}
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, update: Member) -> None:
        """Queue an update in place of an older one of the same member.

        :param update: the update to spread.
        """
        self._updates.pop(update.name, None)
        self._updates[update.name] = (update, WORD_BYTES + struct_bytes(update))
        self._sent[update.name] = 0

    def discard(self, name: str) -> None:
        """Stop spreading what is no longer the newest of a member.

        :param name: the member.
        """
        self._updates.pop(name, None)
        self._sent.pop(name, None)

    def take(self, limit_bytes: int, members: int) -> tuple[Member, ...]:
        """Choose the updates for one message, those least sent first.

        :param limit_bytes: room for updates in the message.
        :param members: size of the group that they are to reach.
        :returns: the updates to send.
        """
        limit_sends = SENDS_PER_DOUBLING * max(1, math.ceil(math.log2(members + 1)))
        chosen = []
        for name in sorted(self._updates, key=self._sent.__getitem__):
            update, size = self._updates[name]
            if size > limit_bytes:
                break
            limit_bytes -= size
            chosen.append(update)
            self._count(name, limit_sends)
        return tuple(chosen)

    def _count(self, name: str, limit_sends: int) -> None:
        self._sent[name] += 1
        if self._sent[name] >= limit_sends:
            del self._sent[name]
            del self._updates[name]
