"""Effect: another process holds this node's name."""

from dataclasses import dataclass

from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class Superseded:
    """A newer incarnation of this node's name exists; this process should stop.

    :param member: the newer holder of the name.
    """

    member: Member
