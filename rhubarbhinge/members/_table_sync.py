"""Schedules full synchronization of the member table."""

from collections.abc import Callable

MISMATCH_MS = 1_500.0
"""How long digests have to differ before a sync; gossip takes a few tenths of a second."""
MIN_INTERVAL_MS = 3_000.0
"""Shortest time between two syncs, each of which transfers 70 bytes per entry."""


class TableSync:
    """Decides when to fetch the full list of entries from another entry.

    :param now_ms: returns the current time.
    :param fetch: fetches the list from the entry at an IP address, then calls :meth:`on_fetched`.
    """

    def __init__(self, now_ms: Callable[[], float], fetch: Callable[[str], None]):
        self._now_ms = now_ms
        self._fetch = fetch
        self._synced = False
        self._fetching = False
        self._fetched_ms = float("-inf")
        self._mismatch_since_ms: dict[str, float] = {}

    def on_digest(self, ip: str, failure_domain: str, equal: bool) -> None:
        """Process the digest in another entry's heartbeat.

        :param ip: its IP address.
        :param failure_domain: its failure domain. Mismatches are tracked by domain, as a whole
            domain may lack an update that all others have.
        :param equal: whether its digest equals that of this entry.
        """
        now_ms = self._now_ms()
        if equal:
            self._mismatch_since_ms.pop(failure_domain, None)
        else:
            self._mismatch_since_ms.setdefault(failure_domain, now_ms)
        if not self._fetching and (not self._synced or self._is_due(failure_domain, now_ms)):
            self._fetching = True
            self._fetch(ip)

    def on_fetched(self, done: bool) -> None:
        """Report the end of a fetch.

        :param done: whether it succeeded.
        """
        self._fetching = False
        self._fetched_ms = self._now_ms()
        self._synced = self._synced or done
        self._mismatch_since_ms.clear()

    def _is_due(self, failure_domain: str, now_ms: float) -> bool:
        since_ms = self._mismatch_since_ms.get(failure_domain, now_ms)
        if now_ms - since_ms < MISMATCH_MS:
            return False
        return now_ms - self._fetched_ms >= MIN_INTERVAL_MS
