"""Statistics and state of a searcher as observed by this process."""

from rhubarbhinge.fleet._cold_sends import WINDOW_MS, ColdSends
from rhubarbhinge.fleet._searcher import Searcher
from rhubarbhinge.fleet._send_window import SendWindow

SMOOTHING = 0.3
"""Weight of a new observation; after three slow replies in a row they dominate the estimate."""
SLOWNESS_HALF_LIFE_MS = 4_000.0
"""Half-life of an estimate above 1 without new observations; lets the searcher be tried again."""
MAX_SLOWNESS = 20.0
"""Upper bound of the estimate, so that a searcher that hung recovers within a few half-lives."""
REFUSAL_SMOOTHING = 0.2
"""Weight of a new observation in the refusal rate; about ten requests identify a searcher that
sheds load."""
REFUSAL_HALF_LIFE_MS = 3_000.0
"""Half-life of the refusal rate without new observations."""
REPORT_MAX_AGE_MS = 3_000.0
"""Age at which a refusal rate reported by another entry is dropped; it has halved by then."""
OWN_PRECEDENCE_MS = 1_000.0
"""An own request this recent tells more about the searcher than a report."""
REFUSAL_PAUSE_MS = 60.0
"""How long a searcher that refused is avoided: about one execution, after which a slot is free."""
LOSSES_TO_AVOID = 2
"""Number of consecutive connections broken before a reply after which a searcher is avoided."""
LOSS_PAUSE_MS = 250.0
"""How long such a searcher is avoided: about as long as searchers pause."""


class ObservedSearcher:
    """A start of a searcher as observed by this process.

    :param searcher: published state of the searcher.
    :param now_ms: current time.
    :ivar start: identifies this start among all others, including those with the same id; it never
        changes.
    :ivar evacuated: whether the failure domain of the searcher is evacuated.
    :ivar returned_ms: time at which the searcher last became reachable again, or the evacuation of
        its domain ended; it may be cold since. Minus infinity if neither has happened.
    :ivar send_window: limit of the requests in flight; None if the searcher has not refused lately.
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
        "send_window",
        "_last_used_ms",
        "_cold_sends",
        "_slowness",
        "_slowness_ms",
        "_avoid_until_ms",
        "_losses",
        "_refusals",
        "_refusals_ms",
        "_reported_refusals",
        "_reported_ms",
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
        self.send_window: SendWindow | None = None
        self._last_used_ms = float("-inf")
        self._cold_sends: ColdSends | None = None
        self._slowness = 1.0
        self._slowness_ms = now_ms
        self._avoid_until_ms = 0.0
        self._losses = 0
        self._refusals = 0.0
        self._refusals_ms = now_ms
        self._reported_refusals = 0.0
        self._reported_ms = now_ms

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to the searcher."""
        return not self.is_leaving and not self.evacuated

    @property
    def is_leaving(self) -> bool:
        """Whether the searcher receives no new requests permanently."""
        return self.gone or self.searcher.draining

    @property
    def has_returned(self) -> bool:
        """Whether the searcher is in use again after it was out of use for some time."""
        return self.returned_ms > float("-inf")

    def cold_sends(self, now_ms: float) -> ColdSends:
        """Return the counter of requests sent while the searcher is cold, creating it on first use.

        :param now_ms: current time.
        :returns: the counter, which is maintained from now on.
        """
        if self._cold_sends is None:
            known = not self.started_ms and now_ms - self._last_used_ms > WINDOW_MS
            self._cold_sends = ColdSends(now_ms, known)
        return self._cold_sends

    def on_returned(self, now_ms: float) -> None:
        """Record that the searcher may receive requests again.

        :param now_ms: current time.
        """
        self.returned_ms = now_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Check whether the searcher refused or broke a connection recently, or is unreachable.

        :param now_ms: current time.
        :returns: True if any other searcher is preferred, regardless of its latency.
        """
        return self.is_down or now_ms < self._avoid_until_ms

    def slowness(self, now_ms: float) -> float:
        """Estimate the latency of the searcher relative to the typical one.

        :param now_ms: current time.
        :returns: a factor; 1 if the latency is typical.
        """
        if self._slowness <= 1.0:
            return self._slowness
        age = (now_ms - self._slowness_ms) / SLOWNESS_HALF_LIFE_MS
        return 1.0 + (self._slowness - 1.0) * 0.5**age

    def refusal_share(self, now_ms: float) -> float:
        """Estimate the fraction of requests that the searcher refuses.

        :param now_ms: current time.
        :returns: a fraction from 0 to 1, by own observations and the report of another entry.
        """
        own = self.own_refusal_share(now_ms)
        if not self._reported_refusals:
            return own
        age_ms = now_ms - self._reported_ms
        if age_ms >= REPORT_MAX_AGE_MS:
            self._reported_refusals = 0.0
            return own
        return max(own, self._reported_refusals * 0.5 ** (age_ms / REFUSAL_HALF_LIFE_MS))

    def own_refusal_share(self, now_ms: float) -> float:
        """Estimate the fraction of requests that the searcher refuses by own observations alone.

        :param now_ms: current time.
        :returns: a fraction from 0 to 1.
        """
        age = (now_ms - self._refusals_ms) / REFUSAL_HALF_LIFE_MS
        return self._refusals * 0.5**age

    @property
    def last_refusal_share(self) -> float:
        """Fraction of requests that the searcher refused as of the last own observation."""
        return self._refusals

    def refusal_age_ms(self, now_ms: float) -> float:
        """Return the age of the last own observation that changed the refusal rate.

        :param now_ms: current time.
        :returns: the age.
        """
        return now_ms - self._refusals_ms

    def on_refusals_reported(self, share: float, age_ms: float, now_ms: float) -> bool:
        """Record the refusal rate that another entry observed.

        It is ignored if this entry has used the searcher recently or after that observation, and
        forgotten with the next own observation.

        :param share: fraction of requests refused at the time of the observation.
        :param age_ms: age of the observation.
        :param now_ms: current time.
        :returns: True if the report is used.
        """
        observed_ms = now_ms - age_ms
        if age_ms >= REPORT_MAX_AGE_MS or observed_ms <= self._last_used_ms:
            return False
        if now_ms - self._last_used_ms <= OWN_PRECEDENCE_MS:
            return False
        if self._reported_refusals and observed_ms < self._reported_ms:
            return False
        self._reported_refusals = share
        self._reported_ms = observed_ms
        return True

    def oldest_ms(self, now_ms: float) -> float:
        """Return the age of the oldest open request.

        :param now_ms: current time.
        :returns: the age; 0 if no request is open.
        """
        if not self.started_ms:
            return 0.0
        return now_ms - next(iter(self.started_ms.values()))

    def on_sent(self, attempt: int, now_ms: float) -> None:
        """Record a request to the searcher, which may still be queued for a connection.

        :param attempt: identifies the request.
        :param now_ms: current time.
        """
        self.started_ms[attempt] = now_ms
        self._last_used_ms = now_ms
        if self._cold_sends is not None:
            self._cold_sends.on_chosen(attempt)

    def on_written(self, attempt: int, now_ms: float) -> None:
        """Record that a request was written to a connection.

        :param attempt: identifies the request.
        :param now_ms: current time.
        """
        self._last_used_ms = now_ms
        if self._cold_sends is not None:
            self._cold_sends.on_sent(attempt, now_ms)

    def on_withdrawn(self, attempt: int) -> None:
        """Record that a request will not be written to a connection after all.

        :param attempt: identifies the request.
        """
        self.started_ms.pop(attempt, None)
        if self._cold_sends is not None:
            self._cold_sends.on_withdrawn(attempt)

    def on_reply(self, attempt: int, delay_ms: float, typical_ms: float, now_ms: float) -> None:
        """Record a reply.

        :param attempt: identifies the request.
        :param delay_ms: time since the request was sent.
        :param typical_ms: typical latency of such requests.
        :param now_ms: current time.
        """
        self.started_ms.pop(attempt, None)
        self._losses = 0
        self.on_connected(now_ms)
        self._observe(delay_ms / max(typical_ms, 1.0), now_ms)
        self._reported_refusals = 0.0
        if self._refusals:
            self._observe_refusal(0.0, now_ms)

    def on_failure(self, attempt: int, now_ms: float) -> None:
        """Record an error reply, which counts as a slow one.

        :param attempt: identifies the request.
        :param now_ms: current time.
        """
        self.started_ms.pop(attempt, None)
        self._losses = 0
        self._reported_refusals = 0.0
        self._observe(MAX_SLOWNESS / 4, now_ms)

    def on_refused(self, attempt: int, now_ms: float) -> None:
        """Record that the searcher refused a request because it was overloaded.

        :param attempt: identifies the request.
        :param now_ms: current time.
        """
        self.started_ms.pop(attempt, None)
        self._avoid_until_ms = now_ms + REFUSAL_PAUSE_MS
        self._reported_refusals = 0.0
        self._observe_refusal(1.0, now_ms)

    def on_capacity(
        self, refused: bool, limit: int, typical_ms: float, now_ms: float
    ) -> SendWindow | None:
        """Adapt the send window to a reply, creating it with the first refusal.

        :param refused: whether the searcher refused the request for lack of capacity.
        :param limit: present limit of requests in flight.
        :param typical_ms: typical latency of such requests.
        :param now_ms: current time.
        :returns: the window if it was reduced.
        """
        window = self.send_window
        if refused:
            if window is None:
                window = self.send_window = SendWindow(limit)
            return window if window.on_refused(limit, typical_ms, now_ms) else None
        if window is not None and window.is_restored(now_ms):
            self.send_window = None
        elif window is not None:
            window.on_reply(limit, now_ms)
        return None

    def on_unreachable(self) -> None:
        """Record that no connection could be established; the searcher is down until one can."""
        self.is_down = True

    def on_connected(self, now_ms: float) -> None:
        """Record that a connection was established.

        :param now_ms: current time.
        """
        if self.is_down:
            self.is_down = False
            self.on_returned(now_ms)

    def on_lost(self, attempt: int, now_ms: float) -> None:
        """Record a connection that was closed before the reply.

        :param attempt: identifies the request.
        :param now_ms: current time.
        """
        self.started_ms.pop(attempt, None)
        self._losses += 1
        if self._losses >= LOSSES_TO_AVOID:
            self._avoid_until_ms = now_ms + LOSS_PAUSE_MS

    def on_cancelled(
        self, attempt: int, waited_ms: float, typical_ms: float, now_ms: float
    ) -> None:
        """Record a cancelled request; its latency would have been longer than the time waited.

        :param attempt: identifies the request.
        :param waited_ms: time since the request was sent.
        :param typical_ms: typical latency of such requests.
        :param now_ms: current time.
        """
        if self.started_ms.pop(attempt, None) is None:
            return
        ratio = waited_ms / max(typical_ms, 1.0)
        if ratio > self.slowness(now_ms):
            self._observe(ratio, now_ms)

    def _observe(self, ratio: float, now_ms: float) -> None:
        previous = self.slowness(now_ms)
        self._slowness = previous + SMOOTHING * (min(ratio, MAX_SLOWNESS) - previous)
        self._slowness_ms = now_ms

    def _observe_refusal(self, refused: float, now_ms: float) -> None:
        previous = self.own_refusal_share(now_ms)
        self._refusals = previous + REFUSAL_SMOOTHING * (refused - previous)
        self._refusals_ms = now_ms
