"""Records that the owner of tickets keeps of them."""

from dataclasses import dataclass, field
from enum import StrEnum

from rhubarbhinge.once._outcome import Outcome
from rhubarbhinge.once._requester import Requester
from rhubarbhinge.once._ticket import Ticket


class TicketState(StrEnum):
    """States of a ticket in their order; a ticket never returns to an earlier state."""

    MINTED = "minted"
    CONSUMED = "consumed"
    SENT = "sent"
    DONE = "done"


@dataclass(slots=True)
class TicketRecord:
    """The owner's record of a ticket.

    :param ticket: the ticket.
    :param text: its text.
    :param state: its state.
    :param deadline_ms: deadline of its run; 0 before the start.
    :param waiters: requesters that wait for its outcome.
    :param outcome: its outcome, once ``state`` is ``DONE``.
    """

    ticket: Ticket
    text: str
    state: TicketState = TicketState.MINTED
    deadline_ms: int = 0
    waiters: list[Requester] = field(default_factory=list)
    outcome: Outcome | None = None
