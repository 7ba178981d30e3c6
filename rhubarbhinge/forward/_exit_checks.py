"""Checks whether the process of a searcher whose connection broke has exited."""

from collections.abc import Callable

from rhubarbhinge.fleet import ObservedSearcher, SearcherStart
from rhubarbhinge.timing import TimerHandle, TimerService

CHECK_TIMEOUT_MS = 30.0
"""Maximum duration of a check. A new connection is refused within a round trip of 2 ms if nothing
listens on the port, and accepted within 6 ms if the searcher is alive; the rest is headroom for a
busy entry. Only retries after a host stopped responding wait for the full timeout."""

OnChecked = Callable[[bool], None]
"""Called with True if the searcher's process is known to have exited."""


class ExitChecks:
    """Checks whether the processes of searchers whose connections broke have exited.

    A broken connection alone does not show this: the reply may have been lost or the link cut. The
    process has exited if nothing listens on the searcher's port any more.

    :param timers: the timer service.
    :param probe: opens a connection to a searcher.
    """

    def __init__(self, timers: TimerService, probe: Callable[[ObservedSearcher], None]):
        self._timers = timers
        self._probe = probe
        self._waiting: dict[SearcherStart, list[OnChecked]] = {}
        self._due: dict[SearcherStart, TimerHandle] = {}

    def check(self, observed: ObservedSearcher, on_checked: OnChecked) -> None:
        """Start a check, or join the one in progress for the same searcher.

        :param observed: the searcher to check.
        :param on_checked: called once with the result.
        """
        start = observed.start
        waiting = self._waiting.get(start)
        if waiting is not None:
            waiting.append(on_checked)
            return
        self._waiting[start] = [on_checked]
        self._due[start] = self._timers.after(CHECK_TIMEOUT_MS, lambda: self._on_timeout(start))
        self._probe(observed)

    def _on_timeout(self, start: SearcherStart) -> None:
        """Defer the timeout by one loop iteration so that pending I/O is processed first.

        The event loop runs due timers before it reads from sockets.
        """
        self._due[start] = self._timers.after(0, lambda: self.on_result(start, ended=False))

    def on_result(self, start: SearcherStart, ended: bool) -> None:
        """Handle the result of a connection attempt to a searcher.

        :param start: the searcher's start.
        :param ended: whether nothing listens on the searcher's port.
        """
        waiting = self._waiting.pop(start, None)
        if waiting is None:
            return
        self._due.pop(start).cancel()
        for on_checked in waiting:
            on_checked(ended)
