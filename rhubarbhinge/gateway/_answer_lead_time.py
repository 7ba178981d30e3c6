"""How long before it is due an answer has to be begun."""

from collections import deque
from collections.abc import Callable

from rhubarbhinge.web import Response

DEFAULT_DELAY_MS = 2.0
"""Delay between the time to answer and the answer's write, before any was seen."""
DELAY_WINDOW = 64
MIN_DELAYS = 8
"""Fewer delays than these say too little."""
DELAY_QUANTILE = 0.9
"""Of ten answers one may be written later than was allowed for. What is allowed for costs the
shards that would have come meanwhile."""
MAX_LEAD_MS = 20.0
"""Most that is allowed for. An entry that is later than that is short of processor time, and
answers with fewer shards would not help its callers."""
FIXED_HEAD_BYTES = 250
"""Status line, length, date and the headers of the packets of an answer."""


class AnswerLeadTime:
    """How long before it is due an answer has to be begun, by what answers took before.

    Two things come between the time to answer and the caller's having the answer, besides the round
    trips: this process may be busy and has to merge and write it, and it has to pass this VM's
    link, which is slow where VMs are small; the signatures alone are some kilobytes.

    :param link_bits_per_ms: gives the rate of this VM's link; 0 when it is not known.
    """

    def __init__(self, link_bits_per_ms: Callable[[], float]):
        self._link_bits_per_ms = link_bits_per_ms
        self._delays_ms: deque[float] = deque(maxlen=DELAY_WINDOW)
        self._size_by_route: dict[str, int] = {}

    def lead_ms(self, route_name: str) -> float:
        """Tell how long before it is due an answer has to be begun.

        :param route_name: the route.
        :returns: the time.
        """
        return min(MAX_LEAD_MS, self._expected_delay_ms() + self._transfer_ms(route_name))

    def on_answered(self, route_name: str, answer: Response) -> None:
        """Note an answer's size.

        :param route_name: the route.
        :param answer: the answer.
        """
        header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
        self._size_by_route[route_name] = FIXED_HEAD_BYTES + header_bytes + len(answer.body)

    def on_write_delay(self, delay_ms: float) -> None:
        """Note how long after the time to answer an answer was written.

        :param delay_ms: the delay.
        """
        self._delays_ms.append(max(0.0, delay_ms))

    def retain(self, route_names: set[str]) -> None:
        """Forget the routes that are gone.

        :param route_names: those that are left.
        """
        for name in self._size_by_route.keys() - route_names:
            del self._size_by_route[name]

    def _expected_delay_ms(self) -> float:
        if len(self._delays_ms) < MIN_DELAYS:
            return DEFAULT_DELAY_MS
        ordered = sorted(self._delays_ms)
        return ordered[int(DELAY_QUANTILE * len(ordered))]

    def _transfer_ms(self, route_name: str) -> float:
        bits_per_ms = self._link_bits_per_ms()
        if bits_per_ms <= 0:
            return 0.0
        return 8 * self._size_by_route.get(route_name, 0) / bits_per_ms
