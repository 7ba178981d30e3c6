"""Retry budget shared by the retries and hedges of all processes."""

from collections import Counter, deque
from collections.abc import Callable, Iterable

from msgspec import Struct

BUCKET_MS = 500.0
"""Resolution of the counts; the window is inaccurate by at most one bucket, on the safe side."""


class BudgetRule(Struct, frozen=True):
    """Limit on the extra sends of all processes together to each service.

    :param ratio: extra sends allowed per request, such as 0.2.
    :param slack: extra sends allowed on top per window.
    :param window_ms: length of the sliding window.
    """

    ratio: float
    slack: float
    window_ms: float


class RetryBudget:
    """This process's share of the retry budget.

    Each process may spend in proportion to its own requests, plus an equal share of the slack. The
    sum therefore stays within the limit without any coordination, as long as no more processes send
    than are counted.

    :param rule: the shared limit; it may be replaced, except for its window.
    :param now_ms: returns the current time.
    :param processes: returns the number of processes that may be sending.
    :ivar granted: number of extra sends granted since startup.
    :ivar refused: number of extra sends refused since startup.
    """

    def __init__(self, rule: BudgetRule, now_ms: Callable[[], float], processes: Callable[[], int]):
        self.rule = rule
        self._now_ms = now_ms
        self._processes = processes
        # Counts are kept in buckets: requests expire one bucket early and extra sends one bucket
        # late, so that the limit is never exceeded.
        self._requests = _WindowCounts(rule.window_ms - BUCKET_MS)
        self._extra_sends = _WindowCounts(rule.window_ms + BUCKET_MS)
        self.granted = 0
        self.refused = 0

    def on_request(self, services: Iterable[str]) -> None:
        """Count the first send of a request to each service.

        :param services: services that receive the request.
        """
        self._requests.add(services, self._now_ms())

    def left(self, service: str) -> float:
        """Return the number of extra sends currently available.

        :param service: name of the service.
        :returns: number of extra sends; below 1 if none is available.
        """
        now_ms = self._now_ms()
        slack = self.rule.slack / max(1, self._processes())
        allowed = self.rule.ratio * self._requests.count(service, now_ms) + slack
        return allowed - self._extra_sends.count(service, now_ms)

    def min_left(self) -> float:
        """Return the number of extra sends available to the service that has the fewest.

        :returns: number of extra sends; 0 before the first request.
        """
        services = self._requests.names()
        return min((self.left(service) for service in services), default=0.0)

    def take(self, service: str) -> bool:
        """Request one extra send.

        :param service: name of the service.
        :returns: True if it is granted, in which case it is counted as sent.
        """
        if self.left(service) < 1.0:
            self.refused += 1
            return False
        self.granted += 1
        self._extra_sends.add((service,), self._now_ms())
        return True


class _WindowCounts:
    """Counts by name over a sliding window.

    :param window_ms: maximum time for which a count is kept.
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._buckets: deque[tuple[float, Counter[str]]] = deque()
        self._totals: Counter[str] = Counter()

    def add(self, names: Iterable[str], now_ms: float) -> None:
        self._expire(now_ms)
        if not self._buckets or now_ms - self._buckets[-1][0] >= BUCKET_MS:
            self._buckets.append((now_ms, Counter()))
        bucket = self._buckets[-1][1]
        for name in names:
            bucket[name] += 1
            self._totals[name] += 1

    def count(self, name: str, now_ms: float) -> int:
        self._expire(now_ms)
        return self._totals[name]

    def names(self) -> list[str]:
        return [name for name, count in self._totals.items() if count]

    def _expire(self, now_ms: float) -> None:
        while self._buckets and now_ms - self._buckets[0][0] > self._window_ms:
            _, bucket = self._buckets.popleft()
            self._totals.subtract(bucket)
            if not self._buckets:
                self._totals.clear()
