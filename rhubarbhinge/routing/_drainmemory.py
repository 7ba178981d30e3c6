"""Searchers that were leaving when the relay stopped to own them."""

from rhubarbhinge.routing._drainstate import DrainState

#: Most searchers remembered; the oldest is forgotten, and says again itself that it leaves.
MOST_REMEMBERED = 10_000


class DrainMemory:
    """Keeps a leaving searcher's signals and incarnation, for when the relay owns it again."""

    def __init__(self) -> None:
        self._kept: dict[int, tuple[DrainState, int | None]] = {}

    def keep(self, upstream_id: int, drain: DrainState, incarnation: int | None) -> None:
        """Remember a searcher if it is leaving.

        :param upstream_id: the searcher.
        :param drain: its signals.
        :param incarnation: its incarnation, None when it is not known.
        """
        if not drain.draining:
            return
        if len(self._kept) >= MOST_REMEMBERED:
            del self._kept[next(iter(self._kept))]
        self._kept[upstream_id] = drain, incarnation

    def take(self, upstream_id: int) -> tuple[DrainState, int | None]:
        """Give back what is remembered.

        :param upstream_id: the searcher.
        :returns: its signals and incarnation; none of either for an unknown one.
        """
        return self._kept.pop(upstream_id, None) or (DrainState(), None)
