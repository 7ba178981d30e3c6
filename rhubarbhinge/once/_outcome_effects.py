"""Effects that report an outcome to its requester."""

from rhubarbhinge.once._effects import AnswerOutcome, SendForwardReply
from rhubarbhinge.once._outcome import Outcome
from rhubarbhinge.once._requester import LocalRequester, Requester
from rhubarbhinge.wire._ticket_forward_reply import TicketForwardReply


def outcome_effect(
    requester: Requester, ticket: str, outcome: Outcome
) -> AnswerOutcome | SendForwardReply:
    """Return the effect that reports an outcome to its requester.

    :param requester: a caller's request, or a call from another entry.
    :param ticket: the ticket's text.
    :param outcome: the outcome.
    :returns: the effect.
    """
    if isinstance(requester, LocalRequester):
        return AnswerOutcome(requester.request, outcome)
    reply = TicketForwardReply(
        requester.call,
        requester.incarnation,
        ticket,
        outcome.kind.value,
        outcome.code,
        outcome.message,
        outcome.todo,
        outcome.retry_after_ms,
        outcome.result,
    )
    return SendForwardReply(requester.entry, reply)
