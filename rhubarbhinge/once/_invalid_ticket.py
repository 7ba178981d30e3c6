"""Result of verifying a text that is not a usable ticket."""

from dataclasses import dataclass

from rhubarbhinge.once._outcome_codes import OutcomeCode


@dataclass(frozen=True, slots=True)
class InvalidTicket:
    """A text that is not a usable ticket.

    :param code: ``ticket-malformed``, ``ticket-forged``, ``ticket-expired`` or
        ``ticket-other-incarnation``.
    """

    code: OutcomeCode
