"""Lead time of answers: how long before its due time an answer has to be started."""

from collections import deque
from collections.abc import Callable

from rhubarbhinge.web import Response

DEFAULT_DELAY_MS = 2.0
"""Assumed delay between starting an answer and writing it, before enough were measured."""
DELAY_WINDOW = 64
"""Number of recent delays that are kept."""
MIN_DELAYS = 8
"""Number of measured delays below which the default is used."""
DELAY_QUANTILE = 0.9
"""Quantile of the measured delays that is used: one answer in ten may be written late. A longer
lead time leaves out the shards that would have replied meanwhile."""
MAX_LEAD_MS = 20.0
"""Upper limit of the lead time. An entry with longer delays is short of processor time, and
answering with fewer shards would not help its callers."""
FIXED_HEAD_BYTES = 250
"""Assumed size of the status line, Content-Length and Date headers, and packet headers."""


class AnswerLeadTime:
    """Estimates the lead time of answers from the delays and sizes of earlier answers.

    Besides the round trip, two delays precede the arrival of an answer at the caller: this process
    may be busy and has to merge and write the answer, and the answer has to pass the network link
    of this VM. The link is slow on small VMs, and the signatures alone take some kilobytes.

    :param link_bits_per_ms: returns the rate of this VM's link, or 0 if it is unknown.
    """

    def __init__(self, link_bits_per_ms: Callable[[], float]):
        self._link_bits_per_ms = link_bits_per_ms
        self._delays_ms: deque[float] = deque(maxlen=DELAY_WINDOW)
        self._size_by_route: dict[str, int] = {}

    def lead_ms(self, route_name: str) -> float:
        """Estimate how long before its due time an answer has to be started.

        :param route_name: the route.
        :returns: the lead time.
        """
        return min(MAX_LEAD_MS, self._expected_delay_ms() + self._transfer_ms(route_name))

    def on_answered(self, route_name: str, answer: Response) -> None:
        """Record the size of an answer.

        :param route_name: the route.
        :param answer: the answer.
        """
        header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
        self._size_by_route[route_name] = FIXED_HEAD_BYTES + header_bytes + len(answer.body)

    def on_write_delay(self, delay_ms: float) -> None:
        """Record the delay between the scheduled start of an answer and its write.

        :param delay_ms: the delay.
        """
        self._delays_ms.append(max(0.0, delay_ms))

    def retain(self, route_names: set[str]) -> None:
        """Discard the data of removed routes.

        :param route_names: the routes that remain.
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
