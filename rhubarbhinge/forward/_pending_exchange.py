"""State of an exchange in progress."""

from collections.abc import Callable

from msgspec.structs import replace

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward._exchange import Exchange
from rhubarbhinge.forward._outcome import Outcome

MIN_USEFUL_FRACTION = 0.6
"""A request with less than this fraction of the typical latency left is not sent, as its reply
would almost always come too late."""


def least_useful_ms(delays: Delays) -> float:
    """Return the time that a request has to have left to be worth sending.

    :param delays: recent latencies of such requests.
    :returns: time in ms.
    """
    return MIN_USEFUL_FRACTION * delays.quantile(0.5)


def least_on_time_ms(delays: Delays) -> float:
    """Return the time that a forwarded request has to have left to meet its objective.

    Under overload, most requests are sent just before they count as late; with less than the
    typical time left, most of those would be late.

    :param delays: recent latencies of such requests.
    :returns: time in ms.
    """
    return delays.quantile(0.5)


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
        """Order by lateness, then priority or virtual start time, then arrival."""
        return self._rank < other._rank

    @property
    def _rank(self) -> tuple[bool, bool, float, int]:
        exchange = self.exchange
        if exchange.virtual_start_ms is None:
            return (self.late, False, exchange.priority, self.number)
        return (self.late, True, exchange.virtual_start_ms, self.number)

    @property
    def is_forwarded(self) -> bool:
        """Whether this is a forwarded request rather than a shard of a search."""
        return self.exchange.virtual_start_ms is not None

    @property
    def least_ms(self) -> float:
        """Time before the deadline after which it is not worth sending."""
        return least_useful_ms(self.exchange.delays)

    @property
    def least_on_time_ms(self) -> float:
        """Time before the due time after which it counts as late."""
        if self.is_forwarded:
            return least_on_time_ms(self.exchange.delays)
        return self.least_ms

    @property
    def sent(self) -> bool:
        """Whether the request was written to a connection."""
        return self.sent_ms is not None

    def limit_deadline(self, latest_ms: float) -> None:
        """Bring the deadline forward, if it is later than a given time.

        :param latest_ms: the time.
        """
        exchange = self.exchange
        if exchange.deadline_ms > latest_ms:
            due_ms = min(exchange.due_ms, latest_ms)
            self.exchange = replace(exchange, deadline_ms=latest_ms, due_ms=due_ms)

    def cancel(self) -> None:
        """Cancel the exchange."""
        if not self.finished:
            self._cancel(self)
