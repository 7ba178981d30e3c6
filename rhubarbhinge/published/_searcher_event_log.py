"""Log events for added, draining and removed searchers."""

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision

MAX_SINGLE_EVENTS = 5
"""More searchers that change at once share log lines. When 135 shards of three searchers replace
others, each entry would write 800 lines just when it has the least processor time to spare."""
MAX_NAMES_PER_LINE = 40
"""Names in one line; at some 12 characters each they fill half of a line of a kilobyte."""


class SearcherEventLog:
    """Logs added, draining and removed searchers, batching those of one event loop iteration.

    :param timers: the timer service.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._published: dict[str, Searcher] = {}
        self._removed: dict[str, Revision] = {}

    def add_published(self, searcher: Searcher) -> None:
        """Log a searcher that was added or is draining.

        :param searcher: the searcher.
        """
        self._schedule_write()
        self._published[searcher.incarnation] = searcher

    def add_removed(self, incarnation: str, revision: Revision) -> None:
        """Log a searcher whose store entry was removed.

        :param incarnation: the searcher.
        :param revision: the revision that was current when it was removed.
        """
        self._schedule_write()
        self._removed[incarnation] = revision

    def _schedule_write(self) -> None:
        if not self._published and not self._removed:
            self._timers.after(0, self._write)

    def _write(self) -> None:
        published, self._published = list(self._published.values()), {}
        removed, self._removed = self._removed, {}
        for draining in (False, True):
            self._write_published([one for one in published if one.draining is draining], draining)
        if len(removed) <= MAX_SINGLE_EVENTS:
            for incarnation, revision in removed.items():
                log_event("searcher-gone", searcher=incarnation, revision=str(revision))
        else:
            _write_names("searchers-gone", list(removed), revision=str(max(removed.values())))

    def _write_published(self, searchers: list[Searcher], draining: bool) -> None:
        if len(searchers) > MAX_SINGLE_EVENTS:
            names = [searcher.incarnation for searcher in searchers]
            _write_names("searchers-published", names, draining=draining)
            return
        for searcher in searchers:
            log_event(
                "searcher-published",
                searcher=searcher.incarnation,
                service=searcher.service,
                address=f"{searcher.ip}:{searcher.port}",
                draining=searcher.draining,
                started_unix_ms=searcher.started_unix_ms,
            )


def _write_names(event: str, names: list[str], **fields: object) -> None:
    for start in range(0, len(names), MAX_NAMES_PER_LINE):
        batch = names[start : start + MAX_NAMES_PER_LINE]
        log_event(event, searchers=",".join(batch), count=len(batch), **fields)
