"""Interprets replies: the outcome for the request, and the statistics of the searcher."""

from rhubarbhinge.forward._outcome import FailureReason, Lost, NotRun, Outcome, Replied
from rhubarbhinge.forward._pending_exchange import PendingExchange
from rhubarbhinge.forward._searcher_reply import SearcherReply


def is_reply_to(reply: SearcherReply, request_id: str) -> bool:
    """Check whether a reply belongs to a request.

    A reply that names another request must not be attributed to this one. In particular it does not
    show that this one was not executed: an attempt in progress would be removed from the count, and
    the request sent once more than allowed. A refusal that names no request is accepted, as a
    searcher may refuse before it has read the request.

    :param reply: the reply.
    :param request_id: id of the request.
    :returns: True if the reply belongs to the request.
    """
    refuses = reply.not_run or reply.wrong_searcher
    return reply.request_id == request_id or (not reply.request_id and refuses)


def outcome_of(reply: SearcherReply, delay_ms: float) -> Outcome:
    """Determine the outcome of a request from its reply.

    :param reply: the reply to the request.
    :param delay_ms: time since the request was sent.
    :returns: the outcome.
    """
    if reply.wrong_searcher:
        return NotRun(FailureReason.WRONG_SEARCHER)
    if reply.not_run:
        return NotRun(FailureReason.NO_ROOM)
    if reply.encoded:
        return Lost(FailureReason.MALFORMED)
    return Replied(reply, delay_ms)


def record_reply(
    pending: PendingExchange, reply: SearcherReply, delay_ms: float, now_ms: float
) -> None:
    """Update the statistics of the searcher from its reply.

    :param pending: the exchange.
    :param reply: the reply to it.
    :param delay_ms: time since the request was sent.
    :param now_ms: current time.
    """
    observed, number = pending.exchange.searcher, pending.number
    if reply.not_run or reply.wrong_searcher:
        observed.on_refused(number, now_ms)
    elif not reply.succeeded:
        observed.on_failure(number, now_ms)
    else:
        delays = pending.exchange.delays
        observed.on_reply(number, delay_ms, delays.quantile(0.5), now_ms)
        delays.add(delay_ms)
