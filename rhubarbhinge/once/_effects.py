"""Effects that the daemon carries out, as plain data."""

from dataclasses import dataclass

from rhubarbhinge.once._outcome import Outcome
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._ticket_forward import TicketForward
from rhubarbhinge.wire._ticket_forward_reply import TicketForwardReply


@dataclass(frozen=True, slots=True)
class AnswerRedirect:
    """Answer a caller with a 307 redirect to ``/v1/run/<ticket>``; nothing has run.

    :param request: number of the request.
    :param ticket: the ticket's text.
    :param expires_in_ms: remaining lifetime of the ticket; 0 if the ticket is another entry's.
    """

    request: int
    ticket: str
    expires_in_ms: int


@dataclass(frozen=True, slots=True)
class AnswerOutcome:
    """Answer a caller with an outcome.

    :param request: number of the request.
    :param outcome: the outcome.
    """

    request: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send a ticket, which is already marked as consumed, to one relay.

    The daemon must call ``TicketService.on_send`` immediately before it sends the first byte.

    :param ticket: the ticket's text.
    :param action: name of the action.
    :param body: the caller's body.
    :param deadline_ms: end of the run on this entry's clock.
    """

    ticket: str
    action: str
    body: bytes
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class SendForward:
    """Forward a ticket to the entry that minted it.

    :param request: number of the caller's request.
    :param owner: name of that entry.
    :param message: the message.
    """

    request: int
    owner: str
    message: TicketForward


@dataclass(frozen=True, slots=True)
class SendForwardReply:
    """Reply to a forwarded ticket.

    :param entry: name of that entry.
    :param message: the message.
    """

    entry: str
    message: TicketForwardReply


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Send a key claim to one of the key's owners, which may be this entry itself.

    :param entry: name of the owner.
    :param message: the message.
    """

    entry: str
    message: KeyClaim


Effect = AnswerRedirect | AnswerOutcome | StartRun | SendForward | SendForwardReply | SendClaim
