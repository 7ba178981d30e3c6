"""Requests for loans of extra sends, and the retries that wait for them."""

from collections.abc import Callable, Sequence
from typing import Protocol

from msgspec import Struct

from rhubarbhinge.retries._budget import RetryBudget
from rhubarbhinge.retries._loan_turns import LoanTurns


class Loan(Struct, frozen=True):
    """Reply to a request for a loan.

    :param granted: number of extra sends lent; 0 for none.
    :param valid_ms: time after the request for which they may be spent.
    """

    granted: int
    valid_ms: float


REFUSED = Loan(0, 0.0)
"""Reply of an entry that lends nothing; also stands for no valid reply."""


class Unsupported(Struct, frozen=True):
    """Reply of an entry that does not know requests for loans."""


OnReply = Callable[[Loan | Unsupported], None]
Ask = Callable[[str, str, OnReply], None]
"""Asks an entry, by its name, for a loan for a service; the outcome is reported once, later."""


class LoanWaits(Protocol):
    """What a retry that lacks budget needs to know about loans."""

    def wait(self, service: str, on_ended: Callable[[], None]) -> bool:
        """Wait for the outcome of the outstanding request for a loan.

        :param service: name of the service.
        :param on_ended: called once it is known.
        :returns: whether a request is outstanding; otherwise ``on_ended`` is not called.
        """

    def stop_waiting(self, service: str, on_ended: Callable[[], None]) -> None:
        """Wait no longer.

        :param service: name of the service.
        :param on_ended: the function that was passed to :meth:`wait`.
        """


class NoLoans:
    """No loans are requested."""

    def wait(self, service: str, on_ended: Callable[[], None]) -> bool:
        """Do nothing.

        :param service: name of the service.
        :param on_ended: never called.
        :returns: always False.
        """
        return False

    def stop_waiting(self, service: str, on_ended: Callable[[], None]) -> None:
        """Do nothing.

        :param service: name of the service.
        :param on_ended: never called.
        """


NO_LOANS = NoLoans()


class LoanRequests:
    """Asks other entries for loans when the retry budget is short.

    :param budget: the retry budget.
    :param turns: decides when to ask, and whom.
    :param entries: returns the names of the other entries that may be asked.
    :param ask: asks one of them.
    :param now_ms: returns the current time.
    :param on_borrowed: called with the service, the entry and the number of extra sends lent.
    """

    def __init__(
        self,
        budget: RetryBudget,
        turns: LoanTurns,
        entries: Callable[[], Sequence[str]],
        ask: Ask,
        now_ms: Callable[[], float],
        on_borrowed: Callable[[str, str, int], None],
    ):
        self._budget = budget
        self._turns = turns
        self._entries = entries
        self._ask = ask
        self._now_ms = now_ms
        self._on_borrowed = on_borrowed
        self._waiting: dict[str, dict[Callable[[], None], None]] = {}
        budget.on_short = self.request

    @property
    def failed(self) -> int:
        """Number of requests without success since startup."""
        return self._turns.failed

    def request(self, service: str) -> None:
        """Ask for a loan, unless one is being asked for or none is to be asked for now.

        :param service: name of the service.
        """
        entry = self._turns.choose(service, self._entries)
        if entry is not None:
            asked_ms = self._now_ms()
            self._ask(entry, service, lambda reply: self._on_reply(service, entry, asked_ms, reply))

    def wait(self, service: str, on_ended: Callable[[], None]) -> bool:
        """Wait for the outcome of the outstanding request for a loan.

        :param service: name of the service.
        :param on_ended: called once it is known.
        :returns: whether a request is outstanding; otherwise ``on_ended`` is not called.
        """
        if not self._turns.is_asking(service):
            return False
        self._waiting.setdefault(service, {})[on_ended] = None
        return True

    def stop_waiting(self, service: str, on_ended: Callable[[], None]) -> None:
        """Wait no longer.

        :param service: name of the service.
        :param on_ended: the function that was passed to :meth:`wait`.
        """
        waiting = self._waiting.get(service, {})
        waiting.pop(on_ended, None)
        if not waiting:
            self._waiting.pop(service, None)

    def _on_reply(
        self, service: str, entry: str, asked_ms: float, reply: Loan | Unsupported
    ) -> None:
        if isinstance(reply, Loan) and reply.granted:
            self._turns.on_granted(service)
            self._budget.borrow(service, reply.granted, asked_ms, reply.valid_ms)
            self._on_borrowed(service, entry, reply.granted)
        else:
            if isinstance(reply, Unsupported):
                self._turns.on_unsupported(entry)
            self._turns.on_failed(service)
            self.request(service)
            if self._turns.is_asking(service):
                return
        for on_ended in self._waiting.pop(service, {}):
            on_ended()
