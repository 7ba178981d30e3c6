"""Delegation of parts of a search to other entries."""

from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import Struct

from rhubarbhinge.forward import CallerRequest
from rhubarbhinge.gather._gather_terms import GatherTerms


class PartialResult(Struct, frozen=True):
    """Result of the shards delegated to another entry, or of some of them.

    :param services: shards whose records are in the body.
    :param signatures: the signatures of their replies, in the same order.
    :param untried: shards for which the request reached no searcher.
    :param pending: shards still being searched; their results follow in later parts.
    :param may_have_run: whether any searcher may have executed the search.
    :param body: the greatest records of these shards.
    """

    services: tuple[str, ...]
    signatures: tuple[str, ...]
    untried: tuple[str, ...]
    pending: tuple[str, ...]
    may_have_run: bool
    body: bytes


class EndedSearcher(Struct, frozen=True):
    """A searcher whose process ended while it was handling a request.

    :param service: its service.
    :param mark: its :attr:`rhubarbhinge.fleet.SearcherStart.mark`.
    """

    service: str
    mark: int


class AttemptReport(Struct, frozen=True):
    """Progress of the attempts made by another entry.

    :param ended: searchers that ended while handling the request and were not reported before.
    :param replied: whether any searcher has executed the request and replied.
    """

    ended: tuple[EndedSearcher, ...] = ()
    replied: bool = False


class DelegatedSearch(Protocol):
    """Handle of shards delegated to another entry.

    :ivar on_given_up: called if the search is given up before it is known whether the other entry
        has begun; the result follows, either untried shards or None. If it is None, such a search
        fails at once.
    """

    on_given_up: Callable[[], None] | None

    def grant(self, services: tuple[str, ...]) -> None:
        """Grant one more attempt at shards for which it was denied when requested.

        :param services: the shards.
        """

    def cancel(self) -> None:
        """Cancel the delegated search."""


AssignShards = Callable[[CallerRequest, GatherTerms, Iterable[str]], dict[str, list[str]]]
"""Selects the shards to delegate; returns lists of shards by the address of the other entry."""
OnPartialResult = Callable[[PartialResult | None], None]
"""Called with each part, of which the last has no pending shards; None if the entry failed."""
GrantAttempts = Callable[[tuple[str, ...], AttemptReport], tuple[str, ...]]
"""Called with the shards for which the other entry requests one more attempt and the progress of
its attempts so far; returns the shards for which the attempt is granted."""
DelegateShards = Callable[
    [str, CallerRequest, GatherTerms, list[str], OnPartialResult, GrantAttempts], DelegatedSearch
]
"""Sends a request to search shards to the entry at an address, with one attempt each until more are
granted."""


class ShardDelegation(Struct, frozen=True):
    """Delegates shards to other entries.

    :param shards_for: selects which shards to delegate to which entry.
    :param send: sends a request to search shards to an entry.
    :param capacity_label: describes the capacity of the entry at an address for the trace; empty if
        it is unknown.
    """

    shards_for: AssignShards
    send: DelegateShards
    capacity_label: Callable[[str], str] = lambda address: ""
