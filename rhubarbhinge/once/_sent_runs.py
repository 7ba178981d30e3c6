"""Open runs that an entry has sent to relays."""

from dataclasses import dataclass

from rhubarbhinge.wire._run_request import RunRequest


@dataclass(frozen=True, slots=True)
class _SentRun:
    request: RunRequest
    keep_until_ms: int


class SentRuns:
    """Runs that an entry has sent to relays and whose results it has not received.

    The loss of a link leaves the state of a run undetermined: the relay may not have read the
    request, or its result may have been in transit. The entry therefore resends the run to the same
    relay process over the next link; the relay runs a ticket at most once.
    """

    def __init__(self) -> None:
        self._runs: dict[str, _SentRun] = {}

    def add(self, request: RunRequest, keep_until_ms: int) -> None:
        """Record a run that is about to be sent.

        :param request: the message.
        :param keep_until_ms: time at which it is removed without a result, on this entry's clock.
        """
        self._runs[request.ticket] = _SentRun(request, keep_until_ms)

    def finish(self, ticket: str, relay: str) -> bool:
        """Remove a run whose result has been received.

        :param ticket: its ticket.
        :param relay: the node that sent the result.
        :returns: whether the run was open and had been sent to that relay.
        """
        run = self._runs.get(ticket)
        if run is None or run.request.relay != relay:
            return False
        del self._runs[ticket]
        return True

    def relays(self) -> set[tuple[str, int]]:
        """Return the relays with open runs.

        :returns: names and incarnations.
        """
        runs = self._runs.values()
        return {(run.request.relay, run.request.relay_incarnation) for run in runs}

    def of_relay(self, relay: str, incarnation: int) -> list[RunRequest]:
        """Return the open runs of one relay process, in the order in which they were sent.

        :param relay: its node name.
        :param incarnation: its incarnation.
        :returns: the messages, as they were sent.
        """
        wanted = (relay, incarnation)
        requests = [run.request for run in self._runs.values()]
        return [each for each in requests if (each.relay, each.relay_incarnation) == wanted]

    def remove_expired(self, now_ms: int) -> None:
        """Remove the runs whose result is no longer kept by the relay.

        :param now_ms: time on this entry's clock.
        """
        old = [ticket for ticket, run in self._runs.items() if now_ms >= run.keep_until_ms]
        for ticket in old:
            del self._runs[ticket]
