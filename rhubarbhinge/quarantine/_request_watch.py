"""One request under way, and the searchers that end under it."""

from collections import deque
from collections.abc import Callable

from rhubarbhinge.quarantine._suspicion import CONVICTING_ENDS

SUSPECT_ENDS = 2
"""Searchers that end under a request, with no reply from any, before its further attempts go one
at a time. One may crash by chance; of two at once one further send tells which it is."""

MOST_FURTHER_UNANSWERED = 2
"""Shards that go to a further searcher before any searcher has replied to the request. In the time
until a hedge nearly all shards of a search have replied, unless one cause holds them all up."""


class RequestWatch:
    """Tells a request that ends its searchers from one that loses them to another cause.

    What ends each searcher that begins it gets no reply from any. So a reply clears the request:
    that of any other shard, mostly before the first loss. Without one, few shards go to a further
    searcher at a time, as the loss of the first ones may not be known yet when hedges are due. With
    two searchers gone, retries and hedges go one at a time, each after the one before has come out.
    A request that is good is late by one reply, some 40 ms, and one that is not takes few more
    searchers in place of a second one of each shard. When one of these ends as well, the request is
    stopped.

    :param one_first: whether the first attempt, too, goes to one searcher alone.
    :param on_stopped: told that no more may be sent, once.
    :param on_cleared: told that a searcher has replied, once.
    :param on_closed: told at the end which searchers ended without a reply from any.
    :ivar is_trial: whether it was begun at one searcher alone.
    """

    def __init__(
        self,
        one_first: bool,
        on_stopped: Callable[[], None],
        on_cleared: Callable[[], None],
        on_closed: Callable[["RequestWatch", tuple[int, ...]], None],
    ):
        self.is_trial = one_first
        self._on_stopped = on_stopped
        self._on_cleared = on_cleared
        self._on_closed = on_closed
        self._marks: dict[int, str] = {}
        self._further: set[str] = set()
        self._held: deque[Callable[[], None]] = deque()
        self._is_passing = False
        self._cleared = False
        self._closed = False

    @property
    def one_first(self) -> bool:
        """Whether one searcher has to reply before the request goes to the others."""
        return self.is_trial and not self._cleared

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Claim an attempt; see :class:`rhubarbhinge.forward.AttemptControl`.

        :param service: the service.
        :param number: number of the attempt at the service, counted from 1.
        :param on_granted: called once it may be sent, if it may not yet.
        :returns: whether it may be sent now.
        """
        if self._cleared:
            return True
        if self._closed:
            return False
        if not self._is_suspect and number == 1:
            return True
        if len(self._further - {service}) >= self._most_further:
            self._held.append(on_granted)
            return False
        self._further.add(service)
        return True

    def on_ended(self, service: str, mark: int) -> None:
        """Note that a searcher's process ended while it had the request.

        :param service: the service.
        :param mark: the searcher.
        """
        if self._cleared or self._closed:
            return
        alone = self._is_suspect and service in self._further
        self._marks[mark] = service
        if alone and (self.is_trial or len(self._marks) >= CONVICTING_ENDS):
            self._close(convicted=True)
            self._on_stopped()

    def on_replied(self, service: str) -> None:
        """Note that a searcher executed the request and replied: it ends none.

        :param service: the service.
        """
        if self._cleared or self._closed:
            return
        self._cleared = True
        self._on_cleared()
        held, self._held = self._held, deque()
        for on_granted in held:
            on_granted()

    def on_over(self, service: str) -> None:
        """Note that the call to a service has come to its end; the next may be sent on.

        :param service: the service.
        """
        self._further.discard(service)
        if self._is_passing:
            # The loop below goes on; hundreds of shards would nest too deeply otherwise.
            return
        self._is_passing = True
        while self._held and len(self._further) < self._most_further and not self._closed:
            self._held.popleft()()
        self._is_passing = False

    def stop(self) -> None:
        """Stop the request, as other entries have found out what it does."""
        if not self._closed and not self._cleared:
            self._close(convicted=False)
            self._on_stopped()

    def close(self) -> None:
        """Note that the request has come to its end."""
        if not self._closed:
            self._close(convicted=False)

    @property
    def _most_further(self) -> int:
        return 1 if self._is_suspect else MOST_FURTHER_UNANSWERED

    @property
    def _is_suspect(self) -> bool:
        return self.is_trial or len(self._marks) >= SUSPECT_ENDS

    def _close(self, convicted: bool) -> None:
        self._closed = True
        self._held.clear()
        marks = () if self._cleared else tuple(self._marks)
        # Without a trial two are enough to be careful next time, and too little to refuse it.
        self._on_closed(self, marks if convicted else marks[:SUSPECT_ENDS])
