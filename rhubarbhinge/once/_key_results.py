"""What comes of a claim of an idempotency key."""

from dataclasses import dataclass

from rhubarbhinge.once._effects import SendClaim
from rhubarbhinge.once._outcome import Outcome


@dataclass(frozen=True, slots=True)
class KeyBound:
    """Both owners hold the key for one ticket.

    :param request: number of the caller's request.
    :param ticket: text of that ticket, which another entry may have minted.
    :param unused: text of the proposed ticket, if no owner has taken it.
    """

    request: int
    ticket: str
    unused: str | None


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key could not be bound, or not to this request.

    :param request: number of the caller's request.
    :param outcome: the answer.
    :param unused: text of the proposed ticket, if no owner has taken it.
    """

    request: int
    outcome: Outcome
    unused: str | None


KeyEffect = SendClaim | KeyBound | KeyRefused
