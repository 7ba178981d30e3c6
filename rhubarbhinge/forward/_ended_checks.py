"""Finding out whether searchers that broke a request off have ended."""

from collections.abc import Callable

from rhubarbhinge.fleet import ObservedSearcher, SearcherStart
from rhubarbhinge.timing import TimerHandle, TimerService

CHECK_MS = 30.0
"""A searcher whose connection broke is checked for so long at most. Where nothing listens any more
a new connection is refused within a round trip of 2 ms, and one that lives takes it in 6 ms; the
rest is for an entry that is busy. Only the retry of a host that fell silent waits for all of it."""

OnChecked = Callable[[bool], None]
"""Told whether the searcher has ended, as far as it is known."""


class EndedChecks:
    """Finds out whether searchers that broke a request off have ended.

    A connection that breaks says little: an answer may have been lost, or a link cut. That nothing
    listens at the searcher's port tells that its process is gone.

    :param timers: the timer service.
    :param probe: opens a connection to a searcher.
    """

    def __init__(self, timers: TimerService, probe: Callable[[ObservedSearcher], None]):
        self._timers = timers
        self._probe = probe
        self._waiting: dict[SearcherStart, list[OnChecked]] = {}
        self._due: dict[SearcherStart, TimerHandle] = {}

    def check(self, observed: ObservedSearcher, on_checked: OnChecked) -> None:
        """Check a searcher.

        :param observed: the searcher.
        :param on_checked: told the result, once.
        """
        start = observed.start
        waiting = self._waiting.get(start)
        if waiting is not None:
            waiting.append(on_checked)
            return
        self._waiting[start] = [on_checked]
        self._due[start] = self._timers.after(CHECK_MS, lambda: self._overdue(start))
        self._probe(observed)

    def _overdue(self, start: SearcherStart) -> None:
        """Let what has come be read first: due timers run before it in a turn of the loop."""
        self._due[start] = self._timers.after(0, lambda: self.found(start, ended=False))

    def found(self, start: SearcherStart, ended: bool) -> None:
        """Take what a connection to a searcher shows.

        :param start: the searcher.
        :param ended: whether nothing listens at its port.
        """
        waiting = self._waiting.pop(start, None)
        if waiting is None:
            return
        self._due.pop(start).cancel()
        for on_checked in waiting:
            on_checked(ended)
