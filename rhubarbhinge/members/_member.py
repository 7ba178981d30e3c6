"""One entry, as it is known."""

import enum

from msgspec import Struct


class MemberState(enum.IntEnum):
    """What is claimed of an entry; of two claims under one counter the later one here prevails."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class Member(Struct, frozen=True):
    """One entry, as it is known.

    :param name: name of its VM, which a replacement of the process keeps.
    :param ip: its IP address.
    :param failure_domain: its failure domain.
    :param start_id: drawn at random when its process started.
    :param counter: raised by the entry itself whenever it contradicts a claim about it. It orders
        claims without the time of day, which may jump.
    :param state: what is claimed.
    """

    name: str
    ip: str
    failure_domain: str
    start_id: int
    counter: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def is_present(self) -> bool:
        """Whether it is not known to have ended."""
        return self.state <= MemberState.SUSPECT


def supersedes(claim: Member, known: Member) -> bool:
    """Tell whether a claim prevails over another one about the same entry.

    :param claim: the claim.
    :param known: the other one.
    :returns: whether it is newer.
    """
    return _rank(claim) > _rank(known)


def _rank(member: Member) -> tuple[int, int, int]:
    return member.counter, member.state, member.start_id
