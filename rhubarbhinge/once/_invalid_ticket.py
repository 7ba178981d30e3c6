"""Why a text isn't a usable ticket."""

from dataclasses import dataclass

from rhubarbhinge.once._outcome_codes import Code


@dataclass(frozen=True, slots=True)
class InvalidTicket:
    """Why a text isn't a usable ticket.

    :param code: ``ticket-malformed``, ``ticket-forged``, ``ticket-expired`` or
        ``ticket-other-incarnation``.
    """

    code: Code
