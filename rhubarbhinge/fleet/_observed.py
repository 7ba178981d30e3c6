"""A searcher as this process observes it."""

from rhubarbhinge.fleet._cold_sends import WINDOW_MS, ColdSends
from rhubarbhinge.fleet._searcher import Searcher

SMOOTHING = 0.3
"""Weight of a new observation; three slow replies in a row make most of the estimate."""
SLOWNESS_HALF_LIFE_MS = 4_000.0
"""Without news an estimate above 1 falls by half in this time, so that the searcher is tried."""
MOST_SLOWNESS = 20.0
"""Cap of the estimate, so that a searcher that hung comes back within a few half-lives."""
REFUSAL_SMOOTHING = 0.2
"""Weight of a new observation in the share of refusals; some ten requests tell a shedding one."""
REFUSAL_HALF_LIFE_MS = 3_000.0
"""The share of refusals falls by half in this time without news."""
SHED_PAUSE_MS = 60.0
"""How long a searcher that refused is avoided; about one execution, after which a slot is free."""
LOSSES_TO_SUSPECT = 2
"""Connections that broke in a row before a reply, after which a searcher is avoided."""
LOSS_PAUSE_MS = 250.0
"""How long it is then avoided; about as long as searchers pause."""


class ObservedSearcher:
    """A start of a searcher as this process observes it.

    :param searcher: what is published about it.
    :param now_ms: the time.
    :ivar start: tells it from other starts, also of the same id; it never changes.
    :ivar evacuated: whether its failure domain is to get no requests.
    :ivar returned_ms: when it was last reached again, or its domain was no longer evacuated; it may
        have become cold meanwhile. Minus infinity if that never was.
    """

    __slots__ = (
        "searcher",
        "start",
        "warm_at_ms",
        "started_ms",
        "gone",
        "evacuated",
        "is_down",
        "returned_ms",
        "_used_ms",
        "_cold_sends",
        "_slowness",
        "_slowness_ms",
        "_avoid_until_ms",
        "_losses",
        "_refusals",
        "_refusals_ms",
    )

    def __init__(self, searcher: Searcher, now_ms: float):
        self.searcher = searcher
        self.start = searcher.start
        self.warm_at_ms = now_ms + searcher.warmup_ms
        self.started_ms: dict[int, float] = {}
        self.gone = False
        self.evacuated = False
        self.is_down = False
        self.returned_ms = float("-inf")
        self._used_ms = float("-inf")
        self._cold_sends: ColdSends | None = None
        self._slowness = 1.0
        self._slowness_ms = now_ms
        self._avoid_until_ms = 0.0
        self._losses = 0
        self._refusals = 0.0
        self._refusals_ms = now_ms

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to it."""
        return not self.is_leaving and not self.evacuated

    @property
    def is_leaving(self) -> bool:
        """Whether it gets no new requests for good."""
        return self.gone or self.searcher.draining

    @property
    def has_returned(self) -> bool:
        """Whether it was out of use for a while, and is used again."""
        return self.returned_ms > float("-inf")

    def cold_sends(self, now_ms: float) -> ColdSends:
        """Give what is counted of its requests while it is cold.

        :param now_ms: the time.
        :returns: the counts, kept from now on.
        """
        if self._cold_sends is None:
            known = not self.started_ms and now_ms - self._used_ms > WINDOW_MS
            self._cold_sends = ColdSends(now_ms, known)
        return self._cold_sends

    def on_returned(self, now_ms: float) -> None:
        """Note that it may get requests again.

        :param now_ms: the time.
        """
        self.returned_ms = now_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Tell whether it refused or broke off just now, or can't be reached.

        :param now_ms: the time.
        :returns: whether another searcher is to be preferred whatever its delays.
        """
        return self.is_down or now_ms < self._avoid_until_ms

    def slowness(self, now_ms: float) -> float:
        """Estimate how much slower it is than usual.

        :param now_ms: the time.
        :returns: a factor; 1 for the usual.
        """
        if self._slowness <= 1.0:
            return self._slowness
        age = (now_ms - self._slowness_ms) / SLOWNESS_HALF_LIFE_MS
        return 1.0 + (self._slowness - 1.0) * 0.5**age

    def refusal_share(self, now_ms: float) -> float:
        """Estimate the share of requests that it refuses.

        :param now_ms: the time.
        :returns: 0 to 1.
        """
        age = (now_ms - self._refusals_ms) / REFUSAL_HALF_LIFE_MS
        return self._refusals * 0.5**age

    def oldest_ms(self, now_ms: float) -> float:
        """Tell how long the oldest open request has been waiting.

        :param now_ms: the time.
        :returns: its age; 0 when none is open.
        """
        if not self.started_ms:
            return 0.0
        return now_ms - next(iter(self.started_ms.values()))

    def on_sent(self, attempt: int, now_ms: float) -> None:
        """Note a request sent to it, which may yet wait for a connection.

        :param attempt: identifies the request.
        :param now_ms: the time.
        """
        self.started_ms[attempt] = now_ms
        self._used_ms = now_ms
        if self._cold_sends is not None:
            self._cold_sends.on_chosen(attempt)

    def on_written(self, attempt: int, now_ms: float) -> None:
        """Note that a request was handed to a connection.

        :param attempt: identifies the request.
        :param now_ms: the time.
        """
        self._used_ms = now_ms
        if self._cold_sends is not None:
            self._cold_sends.on_sent(attempt, now_ms)

    def on_withdrawn(self, attempt: int) -> None:
        """Note that a request was not handed to a connection after all.

        :param attempt: identifies the request.
        """
        self.started_ms.pop(attempt, None)
        if self._cold_sends is not None:
            self._cold_sends.on_withdrawn(attempt)

    def on_reply(self, attempt: int, delay_ms: float, typical_ms: float, now_ms: float) -> None:
        """Note a reply.

        :param attempt: identifies the request.
        :param delay_ms: time since it was sent.
        :param typical_ms: the usual delay of such requests.
        :param now_ms: the time.
        """
        self.started_ms.pop(attempt, None)
        self._losses = 0
        self.on_connected(now_ms)
        self._observe(delay_ms / max(typical_ms, 1.0), now_ms)
        if self._refusals:
            self._observe_refusal(0.0, now_ms)

    def on_failure(self, attempt: int, now_ms: float) -> None:
        """Note a reply that says that it failed, which costs it some standing.

        :param attempt: identifies the request.
        :param now_ms: the time.
        """
        self.started_ms.pop(attempt, None)
        self._losses = 0
        self._observe(MOST_SLOWNESS / 4, now_ms)

    def on_refused(self, attempt: int, now_ms: float) -> None:
        """Note that it refused a request for want of room.

        :param attempt: identifies the request.
        :param now_ms: the time.
        """
        self.started_ms.pop(attempt, None)
        self._avoid_until_ms = now_ms + SHED_PAUSE_MS
        self._observe_refusal(1.0, now_ms)

    def on_unreachable(self) -> None:
        """Note that no connection could be made; it is down until one can."""
        self.is_down = True

    def on_connected(self, now_ms: float) -> None:
        """Note that a connection was made.

        :param now_ms: the time.
        """
        if self.is_down:
            self.is_down = False
            self.on_returned(now_ms)

    def on_lost(self, attempt: int, now_ms: float) -> None:
        """Note a connection that ended before the reply.

        :param attempt: identifies the request.
        :param now_ms: the time.
        """
        self.started_ms.pop(attempt, None)
        self._losses += 1
        if self._losses >= LOSSES_TO_SUSPECT:
            self._avoid_until_ms = now_ms + LOSS_PAUSE_MS

    def on_cancelled(
        self, attempt: int, waited_ms: float, typical_ms: float, now_ms: float
    ) -> None:
        """Note a request that was cancelled; its delay would have been longer than the wait.

        :param attempt: identifies the request.
        :param waited_ms: time since it was sent.
        :param typical_ms: the usual delay of such requests.
        :param now_ms: the time.
        """
        if self.started_ms.pop(attempt, None) is None:
            return
        ratio = waited_ms / max(typical_ms, 1.0)
        if ratio > self.slowness(now_ms):
            self._observe(ratio, now_ms)

    def _observe(self, ratio: float, now_ms: float) -> None:
        old = self.slowness(now_ms)
        self._slowness = old + SMOOTHING * (min(ratio, MOST_SLOWNESS) - old)
        self._slowness_ms = now_ms

    def _observe_refusal(self, refused: float, now_ms: float) -> None:
        old = self.refusal_share(now_ms)
        self._refusals = old + REFUSAL_SMOOTHING * (refused - old)
        self._refusals_ms = now_ms
