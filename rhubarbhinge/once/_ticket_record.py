"""What the owner of a ticket remembers of it."""

from dataclasses import dataclass, field
from enum import StrEnum

from rhubarbhinge.once._outcome import Outcome
from rhubarbhinge.once._requester import Requester
from rhubarbhinge.once._ticket import Ticket


class TicketState(StrEnum):
    """States of a ticket, in their order; it never goes back."""

    MINTED = "minted"
    CONSUMED = "consumed"
    SENT = "sent"
    DONE = "done"


@dataclass(slots=True)
class TicketRecord:
    """What the owner of a ticket remembers of it.

    :param ticket: the ticket.
    :param text: its text.
    :param state: its step.
    :param deadline_ms: end of its run; 0 before the start.
    :param waiters: who waits for its outcome.
    :param outcome: its outcome, once ``state`` is done.
    """

    ticket: Ticket
    text: str
    state: TicketState = TicketState.MINTED
    deadline_ms: int = 0
    waiters: list[Requester] = field(default_factory=list)
    outcome: Outcome | None = None
