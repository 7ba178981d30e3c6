"""State of an exchange in progress."""

from collections.abc import Callable

from rhubarbhinge.forward._exchange import Exchange
from rhubarbhinge.forward._outcome import Outcome


class PendingExchange:
    """State of an exchange in progress.

    :param number: identifies the exchange.
    :param exchange: request and searcher.
    :param on_outcome: called with the outcome.
    :param cancel: cancels the exchange.
    :ivar sent_ms: time at which the request was written to a connection; None while it is queued.
    :ivar finished: whether the outcome was reported or the exchange was cancelled.
    :ivar late: whether the latency objective can no longer be met; such exchanges are queued behind
        all others.
    """

    __slots__ = (
        "number",
        "exchange",
        "on_outcome",
        "link",
        "sent_ms",
        "finished",
        "late",
        "_cancel",
    )

    def __init__(
        self,
        number: int,
        exchange: Exchange,
        on_outcome: Callable[[Outcome], None],
        cancel: Callable[["PendingExchange"], None],
    ):
        self.number = number
        self.exchange = exchange
        self.on_outcome = on_outcome
        self.link: int | None = None
        self.sent_ms: float | None = None
        self.finished = False
        self.late = False
        self._cancel = cancel

    def __lt__(self, other: "PendingExchange") -> bool:
        """Order by lateness, then priority, then arrival."""
        return self._rank < other._rank

    @property
    def _rank(self) -> tuple[bool, int, int]:
        return (self.late, self.exchange.priority, self.number)

    @property
    def sent(self) -> bool:
        """Whether the request was written to a connection."""
        return self.sent_ms is not None

    def cancel(self) -> None:
        """Cancel the exchange."""
        if not self.finished:
            self._cancel(self)
