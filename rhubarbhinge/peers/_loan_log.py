"""Log of the loans of retry budget, with a bounded number of lines."""

from collections.abc import Callable

from rhubarbhinge.telemetry import log_event

MAX_LINES_PER_S = 5
"""Lines per second. An entry that is short for all shards of a search borrows for each of them."""
PERIOD_MS = 1_000.0


class LoanLog:
    """Writes a line for each loan, up to a number per second.

    :param now_ms: returns the current time.
    """

    def __init__(self, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._period_ms = now_ms()
        self._lines = 0
        self._skipped = 0

    def write(self, service: str, granted: int, role: str, peer: str) -> None:
        """Log a loan.

        :param service: name of the service.
        :param granted: number of extra sends lent.
        :param role: role of this entry, ``lender`` or ``borrower``.
        :param peer: the other entry.
        """
        if self._may_write():
            skipped, self._skipped = self._skipped, 0
            more = {"skipped": skipped} if skipped else {}
            log_event("retry-loan", service=service, granted=granted, role=role, peer=peer, **more)

    def write_bad_reply(self, peer: str, code: str) -> None:
        """Log a reply that can't be used.

        :param peer: the entry that sent it.
        :param code: machine-readable reason.
        """
        if self._may_write():
            log_event("bad-retry-loan", level="warning", peer=peer, code=code)

    def _may_write(self) -> bool:
        now_ms = self._now_ms()
        if now_ms - self._period_ms >= PERIOD_MS:
            self._period_ms, self._lines = now_ms, 0
        if self._lines >= MAX_LINES_PER_S:
            self._skipped += 1
            return False
        self._lines += 1
        return True
