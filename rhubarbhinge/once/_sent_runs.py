"""The runs that an entry has sent to relays and has no result of."""

from dataclasses import dataclass

from rhubarbhinge.wire._run_request import RunRequest


@dataclass(frozen=True, slots=True)
class _SentRun:
    request: RunRequest
    keep_until_ms: int


class SentRuns:
    """The runs that an entry has sent to relays and has no result of.

    The loss of a link says nothing about a run: its message may wait unread at the relay, and its
    result may have been on the way. The same process of the relay can tell, so it is sent the run
    again over the next link; its guard runs a ticket once.
    """

    def __init__(self) -> None:
        self._runs: dict[str, _SentRun] = {}

    def add(self, request: RunRequest, keep_until_ms: int) -> None:
        """Note a run that is about to be sent.

        :param request: the message.
        :param keep_until_ms: when it is forgotten without a result, on this entry's clock.
        """
        self._runs[request.ticket] = _SentRun(request, keep_until_ms)

    def take(self, ticket: str, relay: str) -> bool:
        """End a run.

        :param ticket: its ticket.
        :param relay: the node that tells its result.
        :returns: whether it was open and sent to that relay.
        """
        run = self._runs.get(ticket)
        if run is None or run.request.relay != relay:
            return False
        del self._runs[ticket]
        return True

    def relays(self) -> set[tuple[str, int]]:
        """Return the relays that have runs.

        :returns: names and incarnations.
        """
        runs = self._runs.values()
        return {(run.request.relay, run.request.relay_incarnation) for run in runs}

    def of_relay(self, relay: str, incarnation: int) -> list[RunRequest]:
        """Return the open runs of one process of a relay, in the order in which they were sent.

        :param relay: its node name.
        :param incarnation: its incarnation.
        :returns: the messages, as they were sent.
        """
        wanted = (relay, incarnation)
        requests = [run.request for run in self._runs.values()]
        return [each for each in requests if (each.relay, each.relay_incarnation) == wanted]

    def forget_old(self, now_ms: int) -> None:
        """Forget the runs whose result would no longer be kept.

        :param now_ms: time on this entry's clock.
        """
        old = [ticket for ticket, run in self._runs.items() if now_ms >= run.keep_until_ms]
        for ticket in old:
            del self._runs[ticket]
