"""Answers to those who wait for an outcome."""

from rhubarbhinge.once._asker import Asker, LocalAsker
from rhubarbhinge.once._effects import AnswerOutcome, ReplyForward
from rhubarbhinge.once._outcome import Outcome
from rhubarbhinge.wire._ticket_forward_reply import TicketForwardReply


def answer(asker: Asker, ticket: str, found: Outcome) -> AnswerOutcome | ReplyForward:
    """Make the effect that tells an outcome to who asked.

    :param asker: a caller's request, or a call from another entry.
    :param ticket: the ticket's text.
    :param found: the outcome.
    :returns: the effect.
    """
    if isinstance(asker, LocalAsker):
        return AnswerOutcome(asker.request, found)
    reply = TicketForwardReply(
        asker.call,
        asker.incarnation,
        ticket,
        found.kind.value,
        found.code,
        found.message,
        found.todo,
        found.retry_after_ms,
        found.result,
    )
    return ReplyForward(asker.entry, reply)
