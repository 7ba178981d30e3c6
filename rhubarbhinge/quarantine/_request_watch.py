"""Monitors one request in progress for searchers that crash while executing it."""

from collections import deque
from collections.abc import Callable

from rhubarbhinge.quarantine._suspicion import CRASHES_TO_QUARANTINE

CRASHES_TO_SUSPECT = 2
"""Number of searchers that crash during a request, without a reply from any, before further
attempts are sent one at a time. A single crash may be coincidental; after two at once, one more
attempt shows which it is."""

MAX_EXTRA_UNANSWERED = 2
"""Maximum number of shards that may be sent to another searcher before any searcher has replied to
the request. By the time hedges are due nearly all shards have replied, unless they are all delayed
by the same cause."""


class RequestWatch:
    """Distinguishes requests that crash searchers from those that lose them to other causes.

    A request that crashes every searcher never gets a reply, so a reply clears it: any shard's
    reply does, and usually arrives before the first loss. Until then only a few shards at a time
    are sent to another searcher, as the first crashes may not have been detected yet when hedges
    are due. After two crashes, retries and hedges are sent one at a time, each after the outcome of
    the previous one is known. This delays a harmless request by one reply, about 40 ms, and limits
    a harmful one to a few more searchers instead of a second one for every shard. If one of those
    crashes too, the request is stopped.

    :param one_first: whether the first attempt is also sent to a single searcher.
    :param on_stopped: called once when no further attempts may be sent.
    :param on_cleared: called once when a searcher has replied.
    :param on_closed: called at the end with the searchers that crashed, if none has replied.
    :ivar is_trial: whether the request was first sent to a single searcher.
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
        self._extra: set[str] = set()
        self._deferred: deque[Callable[[], None]] = deque()
        self._is_granting = False
        self._cleared = False
        self._closed = False

    @property
    def one_first(self) -> bool:
        """Whether one searcher has to reply before the request is sent to the others."""
        return self.is_trial and not self._cleared

    def claim(self, service: str, number: int, on_granted: Callable[[], None]) -> bool:
        """Request permission to send an attempt; see :class:`rhubarbhinge.forward.AttemptControl`.

        :param service: name of the service.
        :param number: 1-based number of the attempt at this service.
        :param on_granted: called when permission is granted later; only used when this returns
            False.
        :returns: True if the attempt may be sent immediately.
        """
        if self._cleared:
            return True
        if self._closed:
            return False
        if not self._is_suspect and number == 1:
            return True
        if len(self._extra - {service}) >= self._max_extra:
            self._deferred.append(on_granted)
            return False
        self._extra.add(service)
        return True

    def on_searcher_exited(self, service: str, mark: int) -> None:
        """Record that a searcher's process exited while it was handling the request.

        :param service: name of the service.
        :param mark: identifies the searcher's start.
        """
        if self._cleared or self._closed:
            return
        is_further_attempt = self._is_suspect and service in self._extra
        self._marks[mark] = service
        if is_further_attempt and (self.is_trial or len(self._marks) >= CRASHES_TO_QUARANTINE):
            self._close(confirmed=True)
            self._on_stopped()

    def on_replied(self, service: str) -> None:
        """Record that a searcher executed the request and replied, which clears the request.

        :param service: name of the service.
        """
        if self._cleared or self._closed:
            return
        self._cleared = True
        self._on_cleared()
        deferred, self._deferred = self._deferred, deque()
        for on_granted in deferred:
            on_granted()

    def on_call_finished(self, service: str) -> None:
        """Record that the call to a service has finished, and grant the next deferred attempts.

        :param service: name of the service.
        """
        self._extra.discard(service)
        if self._is_granting:
            # The loop of the outer call continues; recursion over hundreds of shards would be too
            # deep.
            return
        self._is_granting = True
        while self._deferred and len(self._extra) < self._max_extra and not self._closed:
            self._deferred.popleft()()
        self._is_granting = False

    def stop(self) -> None:
        """Stop the request because other entries found that it crashes searchers."""
        if not self._closed and not self._cleared:
            self._close(confirmed=False)
            self._on_stopped()

    def close(self) -> None:
        """Record that the request has finished."""
        if not self._closed:
            self._close(confirmed=False)

    @property
    def _max_extra(self) -> int:
        return 1 if self._is_suspect else MAX_EXTRA_UNANSWERED

    @property
    def _is_suspect(self) -> bool:
        return self.is_trial or len(self._marks) >= CRASHES_TO_SUSPECT

    def _close(self, confirmed: bool) -> None:
        self._closed = True
        self._deferred.clear()
        marks = () if self._cleared else tuple(self._marks)
        # Unless confirmed by a further attempt, report two crashes at most: enough to try the
        # request at one searcher next time, but not enough to quarantine it.
        self._on_closed(self, marks if confirmed else marks[:CRASHES_TO_SUSPECT])
