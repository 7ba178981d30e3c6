"""When the whole list of entries is taken from another one."""

from collections.abc import Callable

DIFFERS_MS = 1_500.0
"""Digests that differ for so long are no news on its way; news takes some tenths of a second."""
PAUSE_MS = 3_000.0
"""Least time between two lists, which take 70 bytes an entry."""


class TableSync:
    """Decides when the whole list of entries is taken from another one.

    :param now_ms: gives the time.
    :param fetch: takes the list of the entry at an IP address, and calls :meth:`fetched`.
    """

    def __init__(self, now_ms: Callable[[], float], fetch: Callable[[str], None]):
        self._now_ms = now_ms
        self._fetch = fetch
        self._has_list = False
        self._fetching = False
        self._fetched_ms = float("-inf")
        self._differs_since_ms: dict[str, float] = {}

    def on_digest(self, ip: str, failure_domain: str, equal: bool) -> None:
        """Compare with another entry.

        :param ip: its IP address.
        :param failure_domain: where it runs; one domain may lack what all others know.
        :param equal: whether it knows the same entries as this one.
        """
        now_ms = self._now_ms()
        if equal:
            self._differs_since_ms.pop(failure_domain, None)
        else:
            self._differs_since_ms.setdefault(failure_domain, now_ms)
        if not self._fetching and (not self._has_list or self._is_due(failure_domain, now_ms)):
            self._fetching = True
            self._fetch(ip)

    def fetched(self, done: bool) -> None:
        """Note that a list has come, or that none will.

        :param done: whether it has come.
        """
        self._fetching = False
        self._fetched_ms = self._now_ms()
        self._has_list = self._has_list or done
        self._differs_since_ms.clear()

    def _is_due(self, failure_domain: str, now_ms: float) -> bool:
        since_ms = self._differs_since_ms.get(failure_domain, now_ms)
        if now_ms - since_ms < DIFFERS_MS:
            return False
        return now_ms - self._fetched_ms >= PAUSE_MS
