"""Pausing of the connections on which large replies arrive."""

from collections.abc import Iterable

from rhubarbhinge.forward._reply_memory import TURN_MS, ReplyMemory
from rhubarbhinge.net import Links
from rhubarbhinge.timing import TimerHandle, TimerService


class LargeReplies:
    """Pauses connections on which large replies arrive, for either of two reasons.

    The owner pauses them while callers read too slowly; and while large replies hold much memory,
    they are read in turn.

    :param timers: the timer service.
    :param links: the connections.
    :param limit_bytes: maximum number of bytes held by large replies.
    """

    def __init__(self, timers: TimerService, links: Links, limit_bytes: int):
        self._timers = timers
        self._links = links
        self._memory = ReplyMemory(limit_bytes)
        self._paused: set[int] = set()
        self._out_of_turn: frozenset[int] = frozenset()
        self._turn_timer: TimerHandle | None = None

    def pause(self, links: Iterable[int]) -> None:
        """Pause connections until :meth:`resume`.

        :param links: the connections.
        """
        for link in links:
            self._paused.add(link)
            self._links.pause_reading(link)

    def resume(self) -> None:
        """Read from the paused connections again, except for those that wait for their turn."""
        for link in self._paused - self._out_of_turn:
            self._links.resume_reading(link)
        self._paused.clear()

    def on_received(self, link: int, service: str, held_bytes: int) -> None:
        """Record the size of an incomplete large reply.

        :param link: its connection.
        :param service: service of its searcher.
        :param held_bytes: bytes received of it so far.
        """
        self._memory.on_received(link, service, held_bytes, self._timers.now_ms())
        self._apply_turns()

    def excess(self) -> int | None:
        """Return the connection whose reply has to fail so that memory stays within the limit.

        :returns: the connection; None within the limit.
        """
        return self._memory.excess()

    def on_end(self, link: int) -> None:
        """Forget the reply on a connection, if it was large.

        :param link: the connection.
        """
        if link in self._memory:
            self._memory.on_end(link, self._timers.now_ms())
            self._apply_turns()

    def _apply_turns(self) -> None:
        before, self._out_of_turn = self._out_of_turn, self._memory.paused()
        for link in self._out_of_turn - before:
            self._links.pause_reading(link)
        for link in before - self._out_of_turn - self._paused:
            self._links.resume_reading(link)
        if self._memory.takes_turns and self._turn_timer is None:
            self._turn_timer = self._timers.after(TURN_MS, self._end_turn)

    def _end_turn(self) -> None:
        self._turn_timer = None
        self._memory.advance(self._timers.now_ms())
        self._apply_turns()
