"""State of one request to one searcher, from the call to its outcome."""

from collections.abc import Callable

from rhubarbhinge.forward._exchange import Exchange
from rhubarbhinge.forward._outcome import Outcome


class Exchanging:
    """State of one exchange.

    :param number: identifies it.
    :param exchange: what is asked of whom.
    :param tell: told the outcome.
    :param cancel: gives it up.
    :ivar sent_ms: when it was handed to a connection; None while it waits for one.
    :ivar over: whether its outcome has been told, or it was given up.
    :ivar late: whether a reply would come after it was due; it waits behind all that is in time.
    """

    __slots__ = ("number", "exchange", "tell", "link", "sent_ms", "over", "late", "_cancel")

    def __init__(
        self,
        number: int,
        exchange: Exchange,
        tell: Callable[[Outcome], None],
        cancel: Callable[["Exchanging"], None],
    ):
        self.number = number
        self.exchange = exchange
        self.tell = tell
        self.link: int | None = None
        self.sent_ms: float | None = None
        self.over = False
        self.late = False
        self._cancel = cancel

    def __lt__(self, other: "Exchanging") -> bool:
        """Order what waits: what is in time, then the more urgent, then the earlier."""
        return self._rank < other._rank

    @property
    def _rank(self) -> tuple[bool, int, int]:
        return (self.late, self.exchange.priority, self.number)

    @property
    def sent(self) -> bool:
        """Whether the request was handed to a connection."""
        return self.sent_ms is not None

    def cancel(self) -> None:
        """Give the exchange up."""
        if not self.over:
            self._cancel(self)
