"""Outcomes of one attempt at one searcher."""

from enum import Enum

from msgspec import Struct

from rhubarbhinge.forward._searcher_reply import SearcherReply


class FailureReason(Enum):
    """Reason why an attempt got no reply."""

    NO_ROOM = "no-room"
    """The searcher was overloaded or out of connections."""
    UNREACHABLE = "unreachable"
    """No connection could be established."""
    LEAVING = "leaving"
    """The searcher left the fleet before the request was sent."""
    TOO_LATE = "too-late"
    """The request waited for a connection until a reply could no longer arrive in time."""
    QUEUE_TOO_LONG = "queue-too-long"
    """The request waited, and its turn would come too late at this searcher."""
    WRONG_SEARCHER = "wrong-searcher"
    """Another searcher now uses the address."""
    BROKEN = "broken"
    """The connection was closed before the reply was complete."""
    MALFORMED = "malformed"
    """The bytes received were not a reply to this request."""


class Replied(Struct, frozen=True):
    """The searcher executed the request and replied, successfully or with an error.

    :param reply: complete reply.
    :param delay_ms: time since the request was sent.
    """

    reply: SearcherReply
    delay_ms: float


class NotRun(Struct, frozen=True):
    """The request was definitely not executed.

    :param reason: reason for the failure.
    """

    reason: FailureReason


class Lost(Struct, frozen=True):
    """The request was sent, but it is unknown whether it was executed.

    :param reason: reason for the failure.
    :param searcher_exited: whether the searcher's process has exited, i.e. nothing listens on its
        port.
    """

    reason: FailureReason
    searcher_exited: bool = False


class GivenUp(Struct, frozen=True):
    """The attempt was given up before it is known whether a searcher gets the request.

    Another searcher may be tried meanwhile. The final outcome follows: :class:`NotRun` or
    :class:`Lost`.
    """


Outcome = Replied | NotRun | Lost | GivenUp


def outcome_fields(outcome: Outcome) -> dict:
    """Return the fields that describe an outcome in a log event.

    :param outcome: the outcome.
    :returns: fields of the log event.
    """
    if isinstance(outcome, Replied):
        delay_ms = round(outcome.delay_ms, 1)
        return {"outcome": "replied", "status": outcome.reply.status, "delay_ms": delay_ms}
    if isinstance(outcome, GivenUp):
        return {"outcome": "given-up"}
    return {
        "outcome": "not-run" if isinstance(outcome, NotRun) else "lost",
        "why": outcome.reason.value,
    }
