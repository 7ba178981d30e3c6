"""What a daemon has to do for the books; each is plain data."""

from dataclasses import dataclass

from rhubarbhinge.once._outcome import Outcome
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._ticket_forward import TicketForward
from rhubarbhinge.wire._ticket_forward_reply import TicketForwardReply


@dataclass(frozen=True, slots=True)
class AnswerRedirect:
    """Answer a caller with 307 to ``/v1/run/<ticket>``; nothing has run.

    :param request: number of the request.
    :param ticket: the ticket's text.
    :param expires_in_ms: rest of the ticket's lifetime; 0 if another entry's clock decides.
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
    """Send a ticket to one relay; it is marked consumed already.

    Just before the first byte leaves, the daemon asks ``TicketBook.on_send``.

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
class Forward:
    """Send a ticket to the entry that minted it.

    :param request: number of the caller's request.
    :param owner: name of that entry.
    :param message: the message.
    """

    request: int
    owner: str
    message: TicketForward


@dataclass(frozen=True, slots=True)
class ReplyForward:
    """Answer another entry.

    :param entry: name of that entry.
    :param message: the message.
    """

    entry: str
    message: TicketForwardReply


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Send a claim of a key to one of its owners, which may be this entry itself.

    :param entry: name of the owner.
    :param message: the message.
    """

    entry: str
    message: KeyClaim


Effect = AnswerRedirect | AnswerOutcome | StartRun | Forward | ReplyForward | SendClaim
