"""Refusal of a probe meant for another node or incarnation (UDP)."""

from dataclasses import dataclass

from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class WrongReceiver:
    """Answer with the receiver's own identity to a probe that names another.

    :param sequence: the probe's sequence.
    :param sender: the identity that really holds the address.
    :param intended_name: the name that the probe was meant for.
    :param intended_incarnation: the incarnation that the probe was meant for.
    """

    sequence: int
    sender: Member
    intended_name: str
    intended_incarnation: int
