"""Retry budget shared by the retries and hedges of all processes."""

from collections.abc import Callable, Iterable

from msgspec import Struct

from rhubarbhinge.retries._loans import LOAN_VALID_MS, BorrowedSends, LentSends
from rhubarbhinge.retries._process_counts import ProcessCounts
from rhubarbhinge.retries._window_counts import BUCKET_MS, WindowCounts


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
    than are counted. The largest number within the window counts, as a process that has left may
    have spent its share before. What a process lends to another one counts as spent by itself, so
    that the other one may spend it in addition to its own share.

    :param rule: the shared limit; it may be replaced, except for its window.
    :param now_ms: returns the current time.
    :param processes: returns the number of processes that may be sending.
    :ivar granted: number of extra sends granted since startup.
    :ivar refused: number of extra sends refused since startup.
    :ivar on_short: called with the name of a service when an extra send was refused, or when none
        is left after one was granted and another one was refused within the last window.
    """

    def __init__(self, rule: BudgetRule, now_ms: Callable[[], float], processes: Callable[[], int]):
        self.rule = rule
        self._now_ms = now_ms
        self._process_counts = ProcessCounts(rule.window_ms + BUCKET_MS, now_ms, processes)
        # Counts are kept in buckets: requests expire one bucket early and extra sends one bucket
        # late, so that the limit is never exceeded.
        self._requests = WindowCounts(rule.window_ms - BUCKET_MS)
        self._extra_sends = WindowCounts(rule.window_ms + BUCKET_MS)
        self._refusals = WindowCounts(rule.window_ms)
        self._lent = LentSends(rule.window_ms, now_ms, processes)
        self._borrowed = BorrowedSends(now_ms)
        self.granted = 0
        self.refused = 0
        self.on_short: Callable[[str], None] = lambda service: None

    @property
    def lent(self) -> int:
        """Number of extra sends lent to other entries since startup."""
        return self._lent.total

    @property
    def borrowed(self) -> int:
        """Number of extra sends borrowed from other entries since startup."""
        return self._borrowed.total

    def on_request(self, services: Iterable[str]) -> None:
        """Count the first send of a request to each service.

        :param services: services that receive the request.
        """
        self._requests.add(services, self._now_ms())

    def left(self, service: str) -> float:
        """Return the number of extra sends currently available, including borrowed ones.

        :param service: name of the service.
        :returns: number of extra sends; below 1 if none is available.
        """
        own = self._own_left(service, self._process_counts.observe())
        borrowed = self._borrowed.available(service)
        return max(0.0, own) + borrowed if borrowed else own

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
        now_ms = self._now_ms()
        if self._own_left(service, self._process_counts.observe()) >= 1.0:
            self._extra_sends.add((service,), now_ms)
        elif not self._borrowed.take(service):
            self.refused += 1
            self._refusals.add((service,), now_ms)
            self.on_short(service)
            return False
        self.granted += 1
        if self._refusals.count(service, now_ms) and self.left(service) < 1.0:
            self.on_short(service)
        return True

    def lend(self, service: str) -> int:
        """Lend extra sends to another entry, half of what is left of its own at most.

        Borrowed extra sends are not lent on.

        :param service: name of the service.
        :returns: number of extra sends lent, which are counted as spent; 0 for none.
        """
        processes = self._lent.observe_processes()
        left = self._own_left(service, processes)
        return self._lent.lend(service, left, self.rule.slack / processes)

    def borrow(self, service: str, granted: int, asked_ms: float, valid_ms: float) -> None:
        """Add extra sends that another entry has lent.

        :param service: name of the service.
        :param granted: number of extra sends.
        :param asked_ms: time at which this entry asked for them, no later than they were lent.
        :param valid_ms: time after that for which they may be spent, as far as the lender allows.
        """
        self._borrowed.add(service, granted, asked_ms + min(valid_ms, LOAN_VALID_MS))

    def observe_processes(self) -> None:
        """Record the number of processes that may be sending, which limits later shares and loans.

        To be called several times per second, as the number is only known while it is current.
        """
        self._process_counts.observe()
        self._lent.observe_processes()

    def _own_left(self, service: str, processes: int) -> float:
        """Return how much is left of this process's own budget."""
        now_ms = self._now_ms()
        slack = self.rule.slack / processes
        allowed = self.rule.ratio * self._requests.count(service, now_ms) + slack
        spent = self._extra_sends.count(service, now_ms) + self._lent.active(service)
        return allowed - spent
