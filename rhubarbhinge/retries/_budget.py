"""The budget that retries and hedges of all processes share."""

from collections import Counter, deque
from collections.abc import Callable, Iterable

from msgspec import Struct

BUCKET_MS = 500.0
"""Counts are kept by half seconds; the window is off by one such span at most, on the safe side."""


class BudgetRule(Struct, frozen=True):
    """How much may be sent beyond the first time, by all processes together and to each service.

    :param ratio: extra sends for each request, such as 0.2.
    :param slack: extra sends on top, in one window.
    :param window_ms: length of the sliding window.
    """

    ratio: float
    slack: float
    window_ms: float


class RetryBudget:
    """This process's part of the shared budget.

    Each process spends by its own requests, and its even part of the slack. So the sum keeps to the
    rule without any exchange, as long as no more processes send than are counted.

    :param rule: the shared rule; may be replaced, but for its window.
    :param now_ms: gives the time.
    :param processes: gives how many processes may be sending.
    :ivar granted: extra sends granted since the start.
    :ivar refused: extra sends refused since the start.
    """

    def __init__(self, rule: BudgetRule, now_ms: Callable[[], float], processes: Callable[[], int]):
        self.rule = rule
        self._now_ms = now_ms
        self._processes = processes
        # Requests are forgotten early and extra sends late, as both are counted by buckets.
        self._requests = _WindowCounts(rule.window_ms - BUCKET_MS)
        self._extras = _WindowCounts(rule.window_ms + BUCKET_MS)
        self.granted = 0
        self.refused = 0

    def on_request(self, services: Iterable[str]) -> None:
        """Count the first sends of a request.

        :param services: the services it is for.
        """
        self._requests.add(services, self._now_ms())

    def left(self, service: str) -> float:
        """Tell how much may still be sent now.

        :param service: the service.
        :returns: number of extra sends; below 1 for none.
        """
        now_ms = self._now_ms()
        slack = self.rule.slack / max(1, self._processes())
        allowed = self.rule.ratio * self._requests.count(service, now_ms) + slack
        return allowed - self._extras.count(service, now_ms)

    def least_left(self) -> float:
        """Tell how much the service that has least may still be sent.

        :returns: number of extra sends; 0 before the first request.
        """
        services = self._requests.names()
        return min((self.left(service) for service in services), default=0.0)

    def take(self, service: str) -> bool:
        """Ask for one extra send.

        :param service: the service.
        :returns: whether it may be sent; then it counts as sent.
        """
        if self.left(service) < 1.0:
            self.refused += 1
            return False
        self.granted += 1
        self._extras.add((service,), self._now_ms())
        return True


class _WindowCounts:
    """Counts by name over a sliding window.

    :param window_ms: how long a count is kept at most.
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._buckets: deque[tuple[float, Counter[str]]] = deque()
        self._sums: Counter[str] = Counter()

    def add(self, names: Iterable[str], now_ms: float) -> None:
        self._expire(now_ms)
        if not self._buckets or now_ms - self._buckets[-1][0] >= BUCKET_MS:
            self._buckets.append((now_ms, Counter()))
        bucket = self._buckets[-1][1]
        for name in names:
            bucket[name] += 1
            self._sums[name] += 1

    def count(self, name: str, now_ms: float) -> int:
        self._expire(now_ms)
        return self._sums[name]

    def names(self) -> list[str]:
        return [name for name, count in self._sums.items() if count]

    def _expire(self, now_ms: float) -> None:
        while self._buckets and now_ms - self._buckets[0][0] > self._window_ms:
            _, bucket = self._buckets.popleft()
            self._sums.subtract(bucket)
            if not self._buckets:
                self._sums.clear()
