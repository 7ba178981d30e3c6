"""What is granted to one call."""

from msgspec import Struct

from rhubarbhinge.forward._attempt_control import UNLIMITED, AttemptControl
from rhubarbhinge.forward._search_terms import SearchTerms


class CallTerms(Struct, frozen=True):
    """What is granted to one call.

    :param route_name: the route, for counts.
    :param idempotent: whether it may be executed more than once.
    :param max_attempts: most searchers that may execute it.
    :param hedge_ms: wait before a second searcher is asked too; None to ask none.
    :param retry_until_ms: up to this time refusals are followed by further tries.
    :param deadline_ms: when the caller stops waiting.
    :param priority: rank among what waits for the same searcher; 0 goes first.
    :param due_ms: when a reply is due for the latency objective; what waits longer goes behind
        what is still in time.
    :param search: set for a shard of a search, which another entry may search as well.
    :param searcher: incarnation of the only searcher that may get it; empty for any of the service.
    :param searcher_started_unix_ms: the only start of that searcher that may get it; None for any.
    :param control: asked before each attempt, besides ``max_attempts``: attempts may be shared with
        another entry, or end the searchers that make them.
    """

    route_name: str
    idempotent: bool
    max_attempts: int
    hedge_ms: float | None
    retry_until_ms: float
    deadline_ms: float
    priority: int = 0
    due_ms: float = float("inf")
    search: SearchTerms | None = None
    searcher: str = ""
    searcher_started_unix_ms: int | None = None
    control: AttemptControl = UNLIMITED
