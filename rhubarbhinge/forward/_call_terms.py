"""Limits and options of one call."""

from msgspec import Struct

from rhubarbhinge.forward._attempt_control import UNLIMITED, AttemptControl
from rhubarbhinge.forward._search_terms import SearchTerms


class CallTerms(Struct, frozen=True):
    """Limits and options of one call.

    :param route_name: name of the route, for metrics.
    :param idempotent: whether the request may be executed more than once.
    :param max_attempts: maximum number of searchers that may execute the request.
    :param hedge_ms: delay before a hedge is sent to a second searcher; None disables hedging.
    :param retry_until_ms: time until which refused attempts are retried.
    :param deadline_ms: time at which the caller stops waiting.
    :param priority: priority among requests queued for the same searcher; 0 is the highest.
    :param due_ms: time at which the reply is due under the latency objective; requests that can no
        longer meet it are queued behind those that still can.
    :param search: set for a shard of a search, which another entry may execute instead.
    :param searcher: incarnation of the only searcher that may receive the request; empty for any
        searcher of the service.
    :param searcher_started_unix_ms: start time of the only process of that searcher that may
        receive the request; None for any.
    :param virtual_start_ms: orders forwarded requests that wait for the same searcher, see
        :func:`rhubarbhinge.admission.virtual_start_ms`; None for requests ordered by priority.
    :param control: consulted before each attempt in addition to ``max_attempts``: the attempt limit
        may be shared with another entry, or the request may crash its searchers.
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
    virtual_start_ms: float | None = None
    control: AttemptControl = UNLIMITED
