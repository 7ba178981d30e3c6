"""The last check before a run leaves."""

from dataclasses import dataclass

from rhubarbhinge.once._effects import Effect


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Whether a run may leave now.

    :param send: True at most once for a ticket.
    :param effects: what else has to be done.
    """

    send: bool
    effects: tuple[Effect, ...] = ()
