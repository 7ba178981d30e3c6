"""One request inside a searcher."""

from dataclasses import dataclass
from enum import Enum

from standins.searcher._requests import RunRequest, SearchRequest


class Stage(Enum):
    """How far a request has come."""

    WAITING = "waiting"
    EXECUTING = "executing"
    ANSWERING = "answering"
    GONE = "gone"


@dataclass(slots=True)
class Job:
    """A request that was taken.

    :param exchange: The request's number.
    :param request: What is asked.
    :param arrived_ms: When it arrived.
    :param deadline_at_ms: When the caller stops waiting.
    :param stage: How far it has come.
    :param started_ms: When its execution began.
    :param late: Whether its execution ends at the deadline, unfinished.
    """

    exchange: int
    request: SearchRequest | RunRequest
    arrived_ms: float
    deadline_at_ms: float
    stage: Stage = Stage.WAITING
    started_ms: float = 0.0
    late: bool = False

    @property
    def is_run(self) -> bool:
        """Whether the request is an action."""
        return isinstance(self.request, RunRequest)

    def named(self) -> dict[str, object]:
        """Name the request for the history.

        :returns: The identifying fields.
        """
        request = self.request
        if isinstance(request, RunRequest):
            return {"ticket": request.ticket, "action": request.action}
        return {
            "call": request.call,
            "collection": request.collection,
            "version": request.version,
            "lo": request.lo,
            "hi": request.hi,
        }
