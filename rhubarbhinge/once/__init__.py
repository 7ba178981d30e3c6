"""At-most-once execution of requests by tickets and idempotency keys."""

from rhubarbhinge.once._body_digest import body_digest
from rhubarbhinge.once._drain_report import DrainReport
from rhubarbhinge.once._effects import (
    AnswerOutcome,
    AnswerRedirect,
    Effect,
    SendClaim,
    SendForward,
    SendForwardReply,
    StartRun,
)
from rhubarbhinge.once._history import check_history
from rhubarbhinge.once._idempotency_keys import IdempotencyKeys
from rhubarbhinge.once._incarnation import draw_incarnation
from rhubarbhinge.once._invalid_ticket import InvalidTicket
from rhubarbhinge.once._once_settings import OnceSettings
from rhubarbhinge.once._outcome import Outcome, OutcomeKind, kind_of
from rhubarbhinge.once._outcome_codes import OutcomeCode
from rhubarbhinge.once._requester import LocalRequester, PeerRequester
from rhubarbhinge.once._run_deduplicator import RunDeduplicator
from rhubarbhinge.once._run_results import RunResults
from rhubarbhinge.once._send_permit import SendPermit
from rhubarbhinge.once._sent_runs import SentRuns
from rhubarbhinge.once._signer import Signer
from rhubarbhinge.once._ticket import Ticket
from rhubarbhinge.once._ticket_service import TicketService
from rhubarbhinge.once._violation import Violation, ViolationKind

__all__ = [
    "AnswerOutcome",
    "AnswerRedirect",
    "OutcomeCode",
    "DrainReport",
    "Effect",
    "ViolationKind",
    "SendForward",
    "InvalidTicket",
    "IdempotencyKeys",
    "LocalRequester",
    "OnceSettings",
    "Outcome",
    "OutcomeKind",
    "PeerRequester",
    "SendForwardReply",
    "RunDeduplicator",
    "RunResults",
    "SendClaim",
    "SendPermit",
    "SentRuns",
    "Signer",
    "StartRun",
    "Ticket",
    "TicketService",
    "Violation",
    "body_digest",
    "check_history",
    "draw_incarnation",
    "kind_of",
]
