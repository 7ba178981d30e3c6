"""The latest deltas of one document, for peers that lag a little."""

from collections import OrderedDict

from rhubarbhinge.control._delta_link import DeltaLink

Position = tuple[int, int]


class DeltaChain:
    """Deltas by the position they start from, bounded in bytes.

    :param limit_bytes: the oldest are dropped above this.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._links: OrderedDict[Position, DeltaLink] = OrderedDict()
        self._bytes = 0

    def add(self, base: Position, link: DeltaLink) -> None:
        """Remember a delta.

        :param base: position it starts from.
        :param link: the delta and where it leads.
        """
        if base in self._links:
            self._bytes -= len(self._links.pop(base).delta)
        self._links[base] = link
        self._bytes += len(link.delta)
        while self._bytes > self._limit_bytes:
            _, dropped = self._links.popitem(last=False)
            self._bytes -= len(dropped.delta)

    def path(self, base: Position, target: Position, limit_bytes: int) -> list[DeltaLink] | None:
        """Find the deltas that lead from one position to another.

        :param base: where the receiver is.
        :param target: where it is to go.
        :param limit_bytes: give up above this.
        :returns: the deltas in order, or nothing if there is no short enough way.
        """
        links: list[DeltaLink] = []
        while base != target:
            link = self._links.get(base)
            if link is None or link.position <= base:
                return None
            links.append(link)
            limit_bytes -= len(link.delta)
            if limit_bytes < 0:
                return None
            base = link.position
        return links
