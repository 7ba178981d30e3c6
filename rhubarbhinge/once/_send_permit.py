"""Result of the check immediately before a run is sent."""

from dataclasses import dataclass

from rhubarbhinge.once._effects import Effect


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Whether a run may be sent now.

    :param send: True at most once for a ticket.
    :param effects: effects to carry out in either case.
    """

    send: bool
    effects: tuple[Effect, ...] = ()
