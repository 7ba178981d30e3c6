"""Trace of the decisions made for one request, logged only if the request is of interest."""

from collections.abc import Callable

from rhubarbhinge.telemetry import log_event

MAX_STEPS = 60
"""Maximum number of steps per request; enough for a search over 30 shards with one hedge each."""

Step = tuple[float, str, str, str, dict]


class RequestTrace:
    """Steps of one request; most requests succeed, and their steps are discarded.

    :param request_id: id of the request.
    :param now_ms: returns the current time.
    """

    __slots__ = ("_request_id", "_now_ms", "_started_ms", "_steps", "_dropped")

    def __init__(self, request_id: str, now_ms: Callable[[], float]):
        self._request_id = request_id
        self._now_ms = now_ms
        self._started_ms = now_ms()
        self._steps: list[Step] = []
        self._dropped = 0

    def note(self, name: str, service: str, searcher: str = "", **fields: object) -> None:
        """Record a step.

        :param name: name of the log event.
        :param service: name of the service concerned.
        :param searcher: incarnation of the searcher, if any.
        :param fields: further fields of the log event.
        """
        if len(self._steps) < MAX_STEPS:
            self._steps.append((self._now_ms(), name, service, searcher, fields))
        else:
            self._dropped += 1

    def write_log(self, services: frozenset[str] | None = None) -> None:
        """Write the recorded steps to the log.

        :param services: write only steps of these services; None for all.
        """
        for at_ms, name, service, searcher, fields in self._steps:
            if services is not None and service not in services:
                continue
            log_event(
                name,
                request=self._request_id,
                at_ms=round(at_ms - self._started_ms, 1),
                service=service,
                **({"searcher": searcher} if searcher else {}),
                **fields,
            )
        if self._dropped:
            log_event("steps-dropped", request=self._request_id, count=self._dropped)
