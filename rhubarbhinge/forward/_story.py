"""What was decided about one request, kept until it is known whether it is worth a log line."""

from collections.abc import Callable

from rhubarbhinge.telemetry import log_event

MOST_STEPS = 60
"""Steps kept of one request; a search over 30 shards with a hedge of each fits."""

Step = tuple[float, str, str, str, dict]


class Story:
    """The steps of one request; most requests go well, and theirs are dropped.

    :param request_id: the request.
    :param now_ms: gives the time.
    """

    __slots__ = ("_request_id", "_now_ms", "_started_ms", "_steps", "_more")

    def __init__(self, request_id: str, now_ms: Callable[[], float]):
        self._request_id = request_id
        self._now_ms = now_ms
        self._started_ms = now_ms()
        self._steps: list[Step] = []
        self._more = 0

    def note(self, name: str, service: str, searcher: str = "", **fields: object) -> None:
        """Keep a step.

        :param name: name of the event.
        :param service: the service it is about.
        :param searcher: the searcher's incarnation.
        :param fields: what decided it.
        """
        if len(self._steps) < MOST_STEPS:
            self._steps.append((self._now_ms(), name, service, searcher, fields))
        else:
            self._more += 1

    def tell(self, services: frozenset[str] | None = None) -> None:
        """Write the steps to the log.

        :param services: only steps about these; None for all.
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
        if self._more:
            log_event("steps-dropped", request=self._request_id, count=self._more)
