"""Memory held by incomplete replies, and which of them may grow."""

from collections import Counter

from msgspec import Struct

DEFAULT_LIMIT_BYTES = 64_000_000
"""Limit if the VM's memory is unknown."""
PAUSE_FRACTION = 1 / 4
"""Fraction of the limit above which large replies are read one at a time. One of maximum size then
still fits into the limit on a VM of 300 MB, an eighth of whose memory is the limit."""
RESUME_FRACTION = 1 / 8
"""Fraction of the limit below which all replies are read again; lower than ``PAUSE_FRACTION``, so
that a single reply does not start and end pauses."""
TURN_MS = 100.0
"""Time for which one large reply is read while the others are paused. A reply of maximum size takes
14 ms on a link of 10 Gbit/s; a slow one must not keep the others from being read for seconds, as
searchers then close their connections."""


class _LargeReply(Struct, eq=False):
    service: str
    held_bytes: int = 0


class ReplyMemory:
    """Decides which large replies are read, and which one is dropped, to stay within a limit.

    Above a fraction of the limit, large replies are read in turn, so that each in its turn is
    completed or found to exceed the maximum size. Above the limit, the service whose replies
    hold the most loses the largest of them.

    :param limit_bytes: maximum number of bytes held by large replies.
    :ivar held_bytes: number of bytes held by them.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._replies: dict[int, _LargeReply] = {}
        self._takes_turns = False
        self._turn: int | None = None
        self._turn_end_ms = 0.0
        self.held_bytes = 0

    @property
    def takes_turns(self) -> bool:
        """Whether large replies are read one at a time."""
        return self._takes_turns

    def __contains__(self, key: int) -> bool:
        return key in self._replies

    def on_received(self, key: int, service: str, held_bytes: int, now_ms: float) -> None:
        """Record the size of a large reply.

        :param key: identifies the reply until :meth:`on_end`.
        :param service: service of its searcher.
        :param held_bytes: bytes received of it so far.
        :param now_ms: current time.
        """
        reply = self._replies.get(key)
        if reply is None:
            reply = self._replies[key] = _LargeReply(service)
        self.held_bytes += held_bytes - reply.held_bytes
        reply.held_bytes = held_bytes
        self._update(now_ms)

    def on_end(self, key: int, now_ms: float) -> None:
        """Forget a reply that is complete, failed or cancelled.

        :param key: the reply's key.
        :param now_ms: current time.
        """
        reply = self._replies.pop(key, None)
        if reply is not None:
            self.held_bytes -= reply.held_bytes
            self._update(now_ms)

    def advance(self, now_ms: float) -> None:
        """Give the turn to the next reply if its time is over.

        :param now_ms: current time.
        """
        self._update(now_ms)

    def paused(self) -> frozenset[int]:
        """Return the replies that are not to be read now.

        :returns: their keys.
        """
        if not self._takes_turns:
            return frozenset()
        return frozenset(key for key in self._replies if key != self._turn)

    def excess(self) -> int | None:
        """Return the reply to drop so that memory stays within the limit.

        :returns: its key; None within the limit.
        """
        if self.held_bytes <= self._limit_bytes:
            return None
        bytes_by_service: Counter[str] = Counter()
        for reply in self._replies.values():
            bytes_by_service[reply.service] += reply.held_bytes
        (service, _), *_ = bytes_by_service.most_common(1)
        return max(
            (key for key, reply in self._replies.items() if reply.service == service),
            key=lambda key: self._replies[key].held_bytes,
        )

    def _update(self, now_ms: float) -> None:
        fraction = RESUME_FRACTION if self._takes_turns else PAUSE_FRACTION
        self._takes_turns = self.held_bytes > fraction * self._limit_bytes
        if not self._takes_turns:
            self._turn = None
            return
        if self._turn in self._replies and now_ms < self._turn_end_ms:
            return
        if self._turn in self._replies:
            # Moved behind the others.
            self._replies[self._turn] = self._replies.pop(self._turn)
        self._turn = next(iter(self._replies))
        self._turn_end_ms = now_ms + TURN_MS
