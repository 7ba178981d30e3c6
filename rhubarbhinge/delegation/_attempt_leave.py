"""Leave of the asking entry to send shards to further searchers."""

from collections import Counter
from collections.abc import Callable, Iterable

from rhubarbhinge.timing import TimerService


class AttemptLeave:
    """Leave of the asking entry to send the shards of one ask to further searchers.

    An entry that hears nothing more of an ask searches its shards itself. Without an agreement on
    each attempt beyond the first, both entries together would send a shard to more searchers than
    its route allows: one of them may be cut off from the other, and not from the searchers. The
    agreement takes a round trip of 2 to 3 ms, some 5% of the usual wait before a hedge.

    :param timers: the timer service.
    :param want: tells the asking entry for which shards one more attempt is wanted.
    """

    def __init__(self, timers: TimerService, want: Callable[[tuple[str, ...]], None]):
        self._timers = timers
        self._want = want
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
        if not self._unsaid:
            # Shards that were sent at the same time are hedged at the same time: one message.
            self._timers.after(0, self._say)
        self._unsaid.append(service)
        return False

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

    def _say(self) -> None:
        unsaid, self._unsaid = self._unsaid, []
        self._want(tuple(unsaid))
