"""What a searcher's reply says of the request, and of the searcher."""

from rhubarbhinge.forward._exchanging import Exchanging
from rhubarbhinge.forward._outcome import Lost, NotRun, Outcome, Replied, Why
from rhubarbhinge.forward._searcher_reply import SearcherReply


def is_about(reply: SearcherReply, request_id: str) -> bool:
    """Tell whether a reply is to a request.

    A reply that names another request says nothing of this one, least of all that it was not run:
    an attempt that runs would be taken back, and the request sent once more than allowed. One that
    names none is believed when it refuses, as a searcher may do before it has read the request.

    :param reply: the reply.
    :param request_id: the request.
    :returns: whether it is.
    """
    refuses = reply.not_run or reply.wrong_searcher
    return reply.request_id == request_id or (not reply.request_id and refuses)


def outcome_of(reply: SearcherReply, delay_ms: float) -> Outcome:
    """Work out how a request came out.

    :param reply: the reply to it.
    :param delay_ms: time since it was sent.
    :returns: the outcome.
    """
    if reply.wrong_searcher:
        return NotRun(Why.WRONG_SEARCHER)
    if reply.not_run:
        return NotRun(Why.NO_ROOM)
    if reply.encoded:
        return Lost(Why.MALFORMED)
    return Replied(reply, delay_ms)


def observe(exchanging: Exchanging, reply: SearcherReply, delay_ms: float, now_ms: float) -> None:
    """Take note of what a reply says of its searcher.

    :param exchanging: the request.
    :param reply: the reply to it.
    :param delay_ms: time since it was sent.
    :param now_ms: the time.
    """
    observed, number = exchanging.exchange.searcher, exchanging.number
    if reply.not_run or reply.wrong_searcher:
        observed.on_refused(number, now_ms)
    elif not reply.succeeded:
        observed.on_failure(number, now_ms)
    else:
        delays = exchanging.exchange.delays
        observed.on_reply(number, delay_ms, delays.quantile(0.5), now_ms)
        delays.add(delay_ms)
