"""Starts of searchers that are gone, so that what is told of them late brings none back."""

from rhubarbhinge.fleet import Searcher

MOST_KEPT = 1_000
"""Starts that are remembered. Of the largest fleet that is planned for some 8,200 are replaced on
an ordinary day, so that this holds for hours; what comes late is late by seconds."""


class GoneStarts:
    """The latest start of each searcher that is gone."""

    def __init__(self) -> None:
        self._by_incarnation: dict[str, Searcher] = {}

    def add(self, searcher: Searcher) -> None:
        """Note that a start is over.

        :param searcher: the start.
        """
        known = self._by_incarnation.get(searcher.incarnation)
        if known is not None and self._tells_less(searcher, known):
            return
        self._by_incarnation.pop(searcher.incarnation, None)
        self._by_incarnation[searcher.incarnation] = searcher
        if len(self._by_incarnation) > MOST_KEPT:
            del self._by_incarnation[next(iter(self._by_incarnation))]

    def has(self, searcher: Searcher) -> bool:
        """Tell whether a start is gone, or a later one of the same searcher.

        :param searcher: the start.
        :returns: whether it was published until it was removed.
        """
        gone = self._by_incarnation.get(searcher.incarnation)
        return gone is not None and (gone.is_same_start(searcher) or searcher.started_before(gone))

    def has_later(self, searcher: Searcher) -> bool:
        """Tell whether a later start of the same searcher is gone already.

        :param searcher: a start.
        :returns: whether it is over for long.
        """
        gone = self._by_incarnation.get(searcher.incarnation)
        return gone is not None and searcher.started_before(gone)

    @staticmethod
    def _tells_less(searcher: Searcher, known: Searcher) -> bool:
        untold = searcher.started_unix_ms is None and known.started_unix_ms is not None
        return untold or searcher.started_before(known)
