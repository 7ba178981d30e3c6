"""The log of searchers that come, drain and go."""

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision

MOST_NOTED_ALONE = 5
"""More searchers that change at once share lines. When 135 shards of three searchers take the place
of others, each entry would write 800 lines just when its processor time is shortest."""
MOST_NAMED = 40
"""Names in one line; of some 12 characters each they fill half of a line of a kilobyte."""


class SearcherNotes:
    """Logs the searchers that came, drain or are gone, those of one loop turn together.

    :param timers: the timer service.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._published: dict[str, Searcher] = {}
        self._gone: dict[str, Revision] = {}

    def published(self, searcher: Searcher) -> None:
        """Note a searcher that came or is draining.

        :param searcher: the searcher.
        """
        self._write_soon()
        self._published[searcher.incarnation] = searcher

    def gone(self, incarnation: str, revision: Revision) -> None:
        """Note a searcher whose entry is gone.

        :param incarnation: the searcher.
        :param revision: the revision that was known when it went.
        """
        self._write_soon()
        self._gone[incarnation] = revision

    def _write_soon(self) -> None:
        if not self._published and not self._gone:
            self._timers.after(0, self._write)

    def _write(self) -> None:
        published, self._published = list(self._published.values()), {}
        gone, self._gone = self._gone, {}
        for draining in (False, True):
            self._write_published([one for one in published if one.draining is draining], draining)
        if len(gone) <= MOST_NOTED_ALONE:
            for incarnation, revision in gone.items():
                log_event("searcher-gone", searcher=incarnation, revision=str(revision))
        else:
            _write_names("searchers-gone", list(gone), revision=str(max(gone.values())))

    def _write_published(self, searchers: list[Searcher], draining: bool) -> None:
        if len(searchers) > MOST_NOTED_ALONE:
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
    for start in range(0, len(names), MOST_NAMED):
        named = names[start : start + MOST_NAMED]
        log_event(event, searchers=",".join(named), count=len(named), **fields)
