"""Why a text isn't a usable ticket."""

from dataclasses import dataclass

from rhubarbhinge.once._codes import Code


@dataclass(frozen=True, slots=True)
class TicketFault:
    """Why a text isn't a usable ticket.

    :param code: ``ticket-malformed``, ``ticket-forged``, ``ticket-expired`` or
        ``ticket-other-incarnation``.
    """

    code: Code
