"""Effect: the outcome of a request that must not repeat."""

from dataclasses import dataclass

from rhubarbhinge.routing._runkind import RunKind


@dataclass(frozen=True, slots=True)
class RunResult:
    """Tell an entry how its run ended.

    :param peer: the entry's link.
    :param ticket: the run's ticket.
    :param kind: how it ended.
    :param payload: the searcher's answer, or empty.
    :param retry_after_ms: when to come back, for refusals; else 0.
    """

    peer: str
    ticket: str
    kind: RunKind
    payload: bytes
    retry_after_ms: int
