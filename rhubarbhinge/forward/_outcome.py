"""How one attempt at one searcher came out."""

from enum import Enum

from msgspec import Struct

from rhubarbhinge.forward._searcher_reply import SearcherReply


class Why(Enum):
    """Why an attempt brought no reply."""

    NO_ROOM = "no-room"
    """The searcher, or its connections, had no room."""
    UNREACHABLE = "unreachable"
    """No connection could be made."""
    LEAVING = "leaving"
    """The searcher left before the request was sent."""
    TOO_LATE = "too-late"
    """It waited for a connection until a reply could not be of use any more."""
    WRONG_SEARCHER = "wrong-searcher"
    """Another searcher has the address."""
    BROKEN = "broken"
    """The connection ended before the whole reply."""
    MALFORMED = "malformed"
    """What came was no reply to this request."""


class Replied(Struct, frozen=True):
    """The searcher executed the request and replied, with a success or a failure.

    :param reply: its whole reply.
    :param delay_ms: time since the request was sent.
    """

    reply: SearcherReply
    delay_ms: float


class NotRun(Struct, frozen=True):
    """The request was certainly not executed.

    :param why: the cause.
    """

    why: Why


class Lost(Struct, frozen=True):
    """The request was sent, and it is not known whether it was executed.

    :param why: the cause.
    :param searcher_ended: whether the searcher's process has ended, as nothing listens at its port.
    """

    why: Why
    searcher_ended: bool = False


Outcome = Replied | NotRun | Lost


def outcome_fields(outcome: Outcome) -> dict:
    """Give what the log says of an outcome.

    :param outcome: the outcome.
    :returns: fields of an event.
    """
    if isinstance(outcome, Replied):
        delay_ms = round(outcome.delay_ms, 1)
        return {"outcome": "replied", "status": outcome.reply.status, "delay_ms": delay_ms}
    return {
        "outcome": "not-run" if isinstance(outcome, NotRun) else "lost",
        "why": outcome.why.value,
    }
