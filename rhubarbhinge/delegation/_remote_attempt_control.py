"""Permission of the requesting entry for further attempts at shards."""

from collections import Counter
from collections.abc import Callable, Iterable

from rhubarbhinge.forward import Unlimited
from rhubarbhinge.gather import AttemptReport, EndedSearcher
from rhubarbhinge.timing import TimerService


class RemoteAttemptControl(Unlimited):
    """Obtains the requesting entry's permission for each attempt at a shard after the first.

    An entry that gets no more messages about its request searches the shards itself. If the
    delegate made further attempts without permission, both entries together could exceed the
    route's number of attempts at a shard: they may be cut off from each other, but not from the
    searchers. The permission takes a round trip of 2 to 3 ms, some 5% of the usual hedging delay.

    The requesting entry is also informed of searchers that ended while they had the request, as
    only it knows the request's progress at all shards.

    :param timers: the timer service.
    :param request: requests one more attempt at some shards from the requesting entry, and reports
        the progress of earlier attempts.
    """

    def __init__(
        self, timers: TimerService, request: Callable[[tuple[str, ...], AttemptReport], None]
    ):
        self._timers = timers
        self._request = request
        self._ended: list[EndedSearcher] = []
        self._replied = False
        self._ends_reported = False
        self._send_scheduled = False
        self._granted: Counter[str] = Counter()
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self._unsent: list[str] = []

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Request permission for an attempt.

        :param service: the shard.
        :param number: number of the attempt, from 1.
        :param on_granted: called once the attempt may be made, if that is not now.
        :returns: whether it may be made now.
        """
        if number <= 1 + self._granted[service]:
            return True
        if service in self._waiting:
            self._waiting[service].append(on_granted)
            return False
        self._waiting[service] = [on_granted]
        self._unsent.append(service)
        self._schedule_send()
        return False

    def on_searcher_exited(self, service: str, mark: int) -> None:
        """Report a searcher that ended while it had the request.

        :param service: the shard.
        :param mark: the searcher.
        """
        self._ended.append(EndedSearcher(service, mark))
        self._schedule_send()

    def on_replied(self, service: str) -> None:
        """Record a reply, which is reported if ended searchers were reported before.

        :param service: the shard.
        """
        if not self._replied:
            self._replied = True
            if self._ends_reported:
                self._schedule_send()

    def grant(self, services: Iterable[str]) -> None:
        """Process the permission for one more attempt at each of some shards.

        :param services: the shards.
        """
        for service in services:
            waiting = self._waiting.pop(service, None)
            if waiting is None:
                continue
            self._granted[service] += 1
            for on_granted in waiting:
                on_granted()

    def flush(self) -> None:
        """Send outstanding requests and reports."""
        if self._send_scheduled:
            self._send_now()

    def _schedule_send(self) -> None:
        if not self._send_scheduled:
            # Shards that were sent together are hedged together, so one message covers all.
            self._send_scheduled = True
            self._timers.after(0, self.flush)

    def _send_now(self) -> None:
        self._send_scheduled = False
        unsent, self._unsent = self._unsent, []
        ended, self._ended = self._ended, []
        self._ends_reported = self._ends_reported or bool(ended)
        self._request(tuple(unsent), AttemptReport(tuple(ended), self._replied))
