"""Extra sends lent to other entries, and those borrowed from them."""

from collections.abc import Callable

from rhubarbhinge.retries._process_counts import ProcessCounts
from rhubarbhinge.retries._window_counts import BUCKET_MS, WindowCounts

LOAN_VALID_MS = 2_000.0
"""Time after its request in which a loan may be spent: many times what a retry waits for, and short
beside the window, for which the lender does without it."""
MAX_LOAN = 8
"""Maximum number of extra sends per loan, so that a borrower that dies wastes few."""


class LentSends:
    """Extra sends lent by this process, which it counts as its own for as long as they matter.

    A loan is spent up to ``LOAN_VALID_MS`` after it was granted and is part of each window that
    includes the time at which it is spent.

    :param window_ms: window of the retry budget.
    :param now_ms: returns the current time.
    :param processes: returns the number of processes that may be sending.
    :ivar total: number of extra sends lent since startup.
    """

    def __init__(self, window_ms: float, now_ms: Callable[[], float], processes: Callable[[], int]):
        self._now_ms = now_ms
        kept_ms = window_ms + LOAN_VALID_MS + BUCKET_MS
        self._lent = WindowCounts(kept_ms)
        self._process_counts = ProcessCounts(kept_ms, now_ms, processes)
        # An earlier process of this VM may have lent or sent until this one started.
        self._may_lend_from_ms = now_ms() + kept_ms
        self.total = 0

    def active(self, service: str) -> int:
        """Return the number of lent sends that count as spent.

        :param service: name of the service.
        :returns: the number.
        """
        return self._lent.count(service, self._now_ms())

    def observe_processes(self) -> int:
        """Record the number of processes that may be sending.

        :returns: the largest number within the time for which loans are counted; 1 at least.
        """
        return self._process_counts.observe()

    def lend(self, service: str, left: float, share: float) -> int:
        """Lend some extra sends, which are counted as spent.

        :param service: name of the service.
        :param left: number of extra sends that this process has left.
        :param share: this process's share of the slack, which limits its loans.
        :returns: the number of extra sends lent; 0 for none.
        """
        now_ms = self._now_ms()
        if now_ms < self._may_lend_from_ms:
            return 0
        granted = int(min(left / 2.0, MAX_LOAN, share - self.active(service)))
        if granted < 1:
            return 0
        self._lent.add((service,), now_ms, granted)
        self.total += granted
        return granted


class BorrowedSends:
    """Extra sends borrowed from other entries, which expire.

    :param now_ms: returns the current time.
    :ivar total: number of extra sends borrowed since startup.
    """

    def __init__(self, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._expiries_ms: dict[str, list[float]] = {}
        self.total = 0

    def add(self, service: str, granted: int, expires_ms: float) -> None:
        """Add a loan.

        :param service: name of the service.
        :param granted: number of extra sends.
        :param expires_ms: time from which they may not be spent.
        """
        self.total += granted
        expiries_ms = self._expiries_ms.get(service, []) + [expires_ms] * granted
        self._expiries_ms[service] = sorted(expiries_ms)

    def available(self, service: str) -> int:
        """Return the number of extra sends that may be spent now.

        :param service: name of the service.
        :returns: the number.
        """
        expiries_ms = self._expiries_ms.get(service)
        if expiries_ms is None:
            return 0
        now_ms = self._now_ms()
        valid = [expires_ms for expires_ms in expiries_ms if now_ms < expires_ms]
        if valid:
            self._expiries_ms[service] = valid
        else:
            del self._expiries_ms[service]
        return len(valid)

    def take(self, service: str) -> bool:
        """Spend the extra send that expires first.

        :param service: name of the service.
        :returns: whether there was one.
        """
        if not self.available(service):
            return False
        self._expiries_ms[service].pop(0)
        return True
