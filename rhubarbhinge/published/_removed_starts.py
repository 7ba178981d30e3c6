"""Removed searchers, remembered so that late updates do not add them again."""

from rhubarbhinge.fleet import Searcher

MAX_STARTS = 1_000
"""Starts that are remembered. The largest planned fleet replaces some 8,200 searchers on an
ordinary day, so this covers hours; late updates arrive within seconds."""


class RemovedStarts:
    """The latest removed start of each searcher."""

    def __init__(self) -> None:
        self._by_incarnation: dict[str, Searcher] = {}

    def add(self, searcher: Searcher) -> None:
        """Record that a start was removed.

        :param searcher: the start.
        """
        known = self._by_incarnation.get(searcher.incarnation)
        if known is not None and self._is_superseded(searcher, known):
            return
        self._by_incarnation.pop(searcher.incarnation, None)
        self._by_incarnation[searcher.incarnation] = searcher
        if len(self._by_incarnation) > MAX_STARTS:
            del self._by_incarnation[next(iter(self._by_incarnation))]

    def has_same_or_later(self, searcher: Searcher) -> bool:
        """Check whether a start, or a later start of the same searcher, was removed.

        :param searcher: the start.
        :returns: whether it was removed.
        """
        removed = self._by_incarnation.get(searcher.incarnation)
        return removed is not None and (
            removed.is_same_start(searcher) or searcher.started_before(removed)
        )

    def has_later(self, searcher: Searcher) -> bool:
        """Check whether a later start of the same searcher was removed.

        :param searcher: a start.
        :returns: whether the start is older than one that was removed.
        """
        removed = self._by_incarnation.get(searcher.incarnation)
        return removed is not None and searcher.started_before(removed)

    @staticmethod
    def _is_superseded(searcher: Searcher, known: Searcher) -> bool:
        lacks_time = searcher.started_unix_ms is None and known.started_unix_ms is not None
        return lacks_time or searcher.started_before(known)
