"""Effect: report the outcome of a run."""

from dataclasses import dataclass

from rhubarbhinge.routing._runoutcome import RunOutcome


@dataclass(frozen=True, slots=True)
class RunResult:
    """Report the outcome of a run to its entry.

    :param peer: the entry's link.
    :param ticket: the run's ticket.
    :param kind: outcome of the run.
    :param payload: response body of the searcher, or empty.
    :param retry_after_ms: retry-after in ms for refusals, otherwise 0.
    """

    peer: str
    ticket: str
    kind: RunOutcome
    payload: bytes
    retry_after_ms: int
