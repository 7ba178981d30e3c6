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

    :param searcher: searcher that is to execute the request.
    :param request: request to send.
    :param deadline_ms: time at which the caller stops waiting, on the monotonic clock.
    :param delays: recent latencies of such requests; the latency of this exchange is added to them.
    :param priority: priority among requests queued for the same searcher; 0 is the highest.
    :param due_ms: time at which the reply is due under the latency objective; requests that can no
        longer meet it are queued behind those that still can.
    :param route_name: name of the route.
    :param search: set for a shard of a search, which another entry may execute instead.
    :param virtual_start_ms: orders forwarded requests that wait for the same searcher; None for
        requests ordered by priority, which are served before those.
    """

    searcher: ObservedSearcher
    request: CallerRequest
    deadline_ms: float
    delays: Delays
    priority: int = 0
    due_ms: float = float("inf")
    route_name: str = ""
    search: SearchTerms | None = None
    virtual_start_ms: float | None = None


class Attempt(Protocol):
    """Handle of an exchange in progress."""

    @property
    def sent(self) -> bool:
        """Whether the request was written to a connection and may therefore reach the searcher."""

    def cancel(self) -> None:
        """Cancel the exchange; its outcome is not reported, and the searcher stops executing it."""


SendAttempt = Callable[[Exchange, Callable[[Outcome], None]], Attempt]
"""Starts an exchange. The callback is called once with the final outcome, possibly after
:class:`rhubarbhinge.forward.GivenUp`, and never before this returns."""
