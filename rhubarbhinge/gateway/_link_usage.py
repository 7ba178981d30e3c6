"""What fills this VM's link."""

from collections.abc import Callable, Mapping

from rhubarbhinge.telemetry import log_event

BUSY_FRACTION = 0.3
"""Part of the link's rate above which a period is logged. A search that meets a transfer waits for
as long as that takes: at 0.3 of a period of 250 ms 75 ms, as long as an urgent answer may take."""


class LinkUsage:
    """Counts what this entry sends by kind, and logs the periods in which it fills the link.

    :param sent_bytes: gives the bytes sent since the start, by kind.
    :param link_bits_per_ms: gives the rate of this VM's link; 0 when it is not known.
    :param now_ms: gives the time.
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
        """Give the bytes sent since the start.

        :returns: bytes by kind.
        """
        return {kind: count() for kind, count in self._sent_bytes.items()}

    def close_period(self) -> None:
        """Close a period, and log it if the link was busy."""
        now_ms, totals = self._now_ms(), self.totals()
        sent = {kind: total - self._last[kind] for kind, total in totals.items()}
        period_ms = now_ms - self._last_ms
        self._last, self._last_ms = totals, now_ms
        threshold_bytes = BUSY_FRACTION * period_ms * self._link_bits_per_ms() / 8
        if 0 < threshold_bytes < sum(sent.values()):
            counts = {f"{kind}_bytes": count for kind, count in sent.items() if count}
            log_event("link-busy", period_ms=round(period_ms), **counts)
