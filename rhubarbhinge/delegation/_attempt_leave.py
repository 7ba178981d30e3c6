"""Leave of the asking entry to send shards to further searchers."""

from collections import Counter
from collections.abc import Callable, Iterable

from rhubarbhinge.forward import Unlimited
from rhubarbhinge.gather import EndedSearcher, FarNews
from rhubarbhinge.timing import TimerService


class AttemptLeave(Unlimited):
    """Leave of the asking entry to send the shards of one ask to further searchers.

    An entry that hears nothing more of an ask searches its shards itself. Without an agreement on
    each attempt beyond the first, both entries together would send a shard to more searchers than
    its route allows: one of them may be cut off from the other, and not from the searchers. The
    agreement takes a round trip of 2 to 3 ms, some 5% of the usual wait before a hedge.

    The asking entry hears as well which searchers ended under the request, as it alone knows how
    the request fares at all shards.

    :param timers: the timer service.
    :param want: tells the asking entry for which shards one more attempt is wanted, and how those
        before fared.
    """

    def __init__(self, timers: TimerService, want: Callable[[tuple[str, ...], FarNews], None]):
        self._timers = timers
        self._want = want
        self._ended: list[EndedSearcher] = []
        self._replied = False
        self._told_ends = False
        self._say_due = False
        self._extra: Counter[str] = Counter()
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self._unsaid: list[str] = []

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Claim an attempt.

        :param service: the shard.
        :param number: number of the attempt, from 1.
        :param on_granted: called once the attempt may be sent, if it may not yet.
        :returns: whether it may be sent now.
        """
        if number <= 1 + self._extra[service]:
            return True
        if service in self._waiting:
            self._waiting[service].append(on_granted)
            return False
        self._waiting[service] = [on_granted]
        self._unsaid.append(service)
        self._plan_to_say()
        return False

    def on_searcher_exited(self, service: str, mark: int) -> None:
        """Tell the asking entry of a searcher that ended while it had the request.

        :param service: the shard.
        :param mark: the searcher.
        """
        self._ended.append(EndedSearcher(service, mark))
        self._plan_to_say()

    def on_replied(self, service: str) -> None:
        """Note a reply, which the asking entry is told when it has heard of searchers that ended.

        :param service: the shard.
        """
        if not self._replied:
            self._replied = True
            if self._told_ends:
                self._plan_to_say()

    def grant(self, services: Iterable[str]) -> None:
        """Take the leave for one more attempt each.

        :param services: the shards.
        """
        for service in services:
            waiting = self._waiting.pop(service, None)
            if waiting is None:
                continue
            self._extra[service] += 1
            for on_granted in waiting:
                on_granted()

    def say_now(self) -> None:
        """Tell what has not been told yet."""
        if self._say_due:
            self._say()

    def _plan_to_say(self) -> None:
        if not self._say_due:
            # Shards that were sent at the same time are hedged at the same time: one message.
            self._say_due = True
            self._timers.after(0, self.say_now)

    def _say(self) -> None:
        self._say_due = False
        unsaid, self._unsaid = self._unsaid, []
        ended, self._ended = self._ended, []
        self._told_ends = self._told_ends or bool(ended)
        self._want(tuple(unsaid), FarNews(tuple(ended), self._replied))
