"""One request to one searcher."""

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from rhubarbhinge.fleet import Delays, ObservedSearcher
from rhubarbhinge.forward._caller_request import CallerRequest
from rhubarbhinge.forward._outcome import Outcome
from rhubarbhinge.forward._search_terms import SearchTerms


class Exchange(Struct, frozen=True):
    """One request to one searcher.

    :param searcher: who shall execute it.
    :param request: what to send.
    :param deadline_ms: when the caller stops waiting, on the steady clock.
    :param delays: the usual delays of such requests, which the outcome adds to.
    :param priority: rank among what waits for the same searcher; 0 goes first.
    :param due_ms: when a reply is due for the latency objective; what waits longer goes behind
        what is still in time.
    :param route_name: the route.
    :param search: set for a shard of a search, which another entry may search as well.
    """

    searcher: ObservedSearcher
    request: CallerRequest
    deadline_ms: float
    delays: Delays
    priority: int = 0
    due_ms: float = float("inf")
    route_name: str = ""
    search: SearchTerms | None = None


class Attempt(Protocol):
    """Handle of an exchange under way."""

    @property
    def sent(self) -> bool:
        """Whether the request has been handed to a connection, so that it may arrive."""

    def cancel(self) -> None:
        """Give the exchange up; its outcome is not told, and the searcher stops working on it."""


SendAttempt = Callable[[Exchange, Callable[[Outcome], None]], Attempt]
"""Starts an exchange; the outcome is told once, always later than the call."""
