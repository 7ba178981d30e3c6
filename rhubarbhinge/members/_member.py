"""State of one entry, as known from heartbeats and gossip."""

import enum

from msgspec import Struct

from rhubarbhinge.members._vm_capacity import UNKNOWN_CAPACITY, VmCapacity


class MemberState(enum.IntEnum):
    """State of an entry; of two updates with equal counters, the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class Member(Struct, frozen=True):
    """Identity and state of one entry; also serves as a membership update.

    :param name: name of its VM, which stays the same when the process is replaced.
    :param ip: its IP address.
    :param failure_domain: its failure domain.
    :param start_id: random number drawn when its process started.
    :param counter: incremented by the entry itself to refute an update about it. It orders updates
        independently of the wall clock, which may jump.
    :param state: its state.
    :param capacity: resources of its VM, which do not decide which of two updates is newer.
    """

    name: str
    ip: str
    failure_domain: str
    start_id: int
    counter: int = 0
    state: MemberState = MemberState.ALIVE
    capacity: VmCapacity = UNKNOWN_CAPACITY

    @property
    def is_present(self) -> bool:
        """Whether the entry is alive or suspected, neither lost nor left."""
        return self.state <= MemberState.SUSPECT


def supersedes(update: Member, known: Member) -> bool:
    """Tell whether an update supersedes another one about the same entry.

    :param update: the update to check.
    :param known: the update known so far.
    :returns: whether the first one is newer.
    """
    return _rank(update) > _rank(known)


def _rank(member: Member) -> tuple[int, int, int]:
    return member.counter, member.state, member.start_id
