"""Drain state of searchers that were leaving when the relay lost ownership."""

from rhubarbhinge.routing._drainstate import DrainState

#: Maximum number of entries; the oldest is evicted, and its searcher reports again that it drains.
MAX_ENTRIES = 10_000


class DrainCache:
    """Stores a leaving searcher's signals and incarnation in case the relay owns it again."""

    def __init__(self) -> None:
        self._entries: dict[int, tuple[DrainState, int | None]] = {}

    def store(self, upstream_id: int, drain: DrainState, incarnation: int | None) -> None:
        """Store a searcher's state if it is leaving.

        :param upstream_id: the searcher.
        :param drain: its drain signals.
        :param incarnation: its incarnation, None if it is not known.
        """
        if not drain.draining:
            return
        if len(self._entries) >= MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]
        self._entries[upstream_id] = drain, incarnation

    def pop(self, upstream_id: int) -> tuple[DrainState, int | None]:
        """Remove and return a searcher's stored state.

        :param upstream_id: the searcher.
        :returns: drain signals and incarnation; no signals and None for an unknown searcher.
        """
        return self._entries.pop(upstream_id, None) or (DrainState(), None)
