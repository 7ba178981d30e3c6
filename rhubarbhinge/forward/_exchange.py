"""One request to one searcher."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rhubarbhinge.fleet import Delays, ObservedSearcher
from rhubarbhinge.forward._caller_request import CallerRequest
from rhubarbhinge.forward._outcome import Outcome


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request to one searcher.

    :param searcher: who shall execute it.
    :param request: what to send.
    :param deadline_ms: when the caller stops waiting, on the steady clock.
    :param delays: the usual delays of such requests, which the outcome adds to.
    """

    searcher: ObservedSearcher
    request: CallerRequest
    deadline_ms: float
    delays: Delays


class Attempt(Protocol):
    """Handle of an exchange under way."""

    def cancel(self) -> None:
        """Give the exchange up; its outcome is not told, and the searcher stops working on it."""


SendAttempt = Callable[[Exchange, Callable[[Outcome], None]], Attempt]
"""Starts an exchange; the outcome is told once, always later than the call."""
