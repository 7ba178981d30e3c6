"""Results of claims of idempotency keys."""

from dataclasses import dataclass

from rhubarbhinge.once._effects import SendClaim
from rhubarbhinge.once._outcome import Outcome


@dataclass(frozen=True, slots=True)
class KeyBound:
    """The key is bound to a ticket.

    :param request: number of the caller's request.
    :param ticket: text of that ticket, which another entry may have minted.
    :param unused: text of the proposed ticket, if the key is bound to another one.
    """

    request: int
    ticket: str
    unused: str | None


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key could not be bound, or is bound to another request.

    :param request: number of the caller's request.
    :param outcome: the answer to the caller.
    :param unused: text of the proposed ticket, if no owner can have bound the key to it.
    """

    request: int
    outcome: Outcome
    unused: str | None


KeyEffect = SendClaim | KeyBound | KeyRefused
