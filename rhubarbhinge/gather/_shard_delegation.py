"""How other entries are asked for the shards near them."""

from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import Struct

from rhubarbhinge.forward import CallerRequest
from rhubarbhinge.gather._gather_terms import GatherTerms


class PartialResult(Struct, frozen=True):
    """What another entry found in the shards near it.

    :param services: shards whose records are in the body.
    :param signatures: the signatures of their replies, in the same order.
    :param untried: shards for which nothing arrived at a searcher.
    :param pending: shards that it is still searching; further parts tell of them.
    :param may_have_run: whether any searcher has executed the search.
    :param body: the greatest records of these shards.
    """

    services: tuple[str, ...]
    signatures: tuple[str, ...]
    untried: tuple[str, ...]
    pending: tuple[str, ...]
    may_have_run: bool
    body: bytes


class EndedSearcher(Struct, frozen=True):
    """A searcher whose process ended while it had a request.

    :param service: its service.
    :param mark: :attr:`rhubarbhinge.fleet.SearcherStart.mark` of it.
    """

    service: str
    mark: int


class FarNews(Struct, frozen=True):
    """How the attempts of another entry fare.

    :param ended: searchers that ended while they had the request, and were not told of before.
    :param replied: whether any searcher has executed the request and replied.
    """

    ended: tuple[EndedSearcher, ...] = ()
    replied: bool = False


class DelegatedSearch(Protocol):
    """Handle of an ask to another entry."""

    def grant(self, services: tuple[str, ...]) -> None:
        """Let shards go to one more searcher, for which that was not granted when it was wanted.

        :param services: the shards.
        """

    def cancel(self) -> None:
        """Give the ask up."""


AssignShards = Callable[[CallerRequest, GatherTerms, Iterable[str]], dict[str, list[str]]]
"""Tells which of some shards to leave to which other entry: lists of shards by its address."""
OnPartialResult = Callable[[PartialResult | None], None]
"""Told each part, the last one without pending shards; or None when the entry failed."""
GrantAttempts = Callable[[tuple[str, ...], FarNews], tuple[str, ...]]
"""Given the shards that the other entry wants to send to one more searcher, and how its attempts
fare, tells for which of them it may now."""
DelegateShards = Callable[
    [str, CallerRequest, GatherTerms, list[str], OnPartialResult, GrantAttempts], DelegatedSearch
]
"""Asks the entry at an address to search shards, at one searcher each until more is granted."""


class ShardDelegation(Struct, frozen=True):
    """How other entries are asked.

    :param shards_for: tells which shards to leave to which entry.
    :param ask: asks an entry.
    """

    shards_for: AssignShards
    ask: DelegateShards
