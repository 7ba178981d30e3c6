"""Usage of this VM's network link."""

from collections.abc import Callable, Mapping

from rhubarbhinge.telemetry import log_event

BUSY_FRACTION = 0.3
"""Fraction of the link's rate above which a period is logged. A search waits for any transfer in
progress: at 0.3 of a period of 250 ms this is 75 ms, as long as an urgent answer may take."""


class LinkUsage:
    """Counts the bytes that this entry sends, and logs periods of high link usage.

    :param sent_bytes: for each kind of traffic, a function that returns the bytes sent so far.
    :param link_bits_per_ms: returns the rate of this VM's link, or 0 if it is unknown.
    :param now_ms: returns the current time.
    """

    def __init__(
        self,
        sent_bytes: Mapping[str, Callable[[], int]],
        link_bits_per_ms: Callable[[], float],
        now_ms: Callable[[], float],
    ):
        self._sent_bytes = sent_bytes
        self._link_bits_per_ms = link_bits_per_ms
        self._now_ms = now_ms
        self._last = self.totals()
        self._last_ms = now_ms()

    def totals(self) -> dict[str, int]:
        """Return the bytes sent since the start.

        :returns: bytes by kind.
        """
        return {kind: count() for kind, count in self._sent_bytes.items()}

    def close_period(self) -> None:
        """Close the current period and log it if the link was busy."""
        now_ms, totals = self._now_ms(), self.totals()
        sent = {kind: total - self._last[kind] for kind, total in totals.items()}
        period_ms = now_ms - self._last_ms
        self._last, self._last_ms = totals, now_ms
        threshold_bytes = BUSY_FRACTION * period_ms * self._link_bits_per_ms() / 8
        if 0 < threshold_bytes < sum(sent.values()):
            counts = {f"{kind}_bytes": count for kind, count in sent.items() if count}
            log_event("link-busy", period_ms=round(period_ms), **counts)
