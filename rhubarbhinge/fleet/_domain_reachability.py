"""Detects unreachable failure domains from the reachability of individual hosts."""

from collections.abc import Callable

UNREACHABLE_HOSTS_TO_SUSPECT = 2
"""Number of unreachable hosts at which their domain is suspected; a single host may have failed
alone."""
UNREACHABLE_WINDOW_MS = 1_000.0
"""Window in which unreachable hosts are counted together; each is only detected on its next use."""
RECENTLY_HEARD_MS = 300.0
"""A domain from which data arrived within this time is not cut off. It is shorter than the 400 ms
without data after which a host is considered unreachable, and longer than the 250 ms for which a
searcher may pause."""


class DomainReachability:
    """Suspects a whole failure domain of being unreachable when several of its hosts are.

    Otherwise each searcher of the domain would have to be detected by a request of its own, which
    waits in vain for hundreds of milliseconds.

    :param now_ms: returns the current time.
    :param on_suspect: called with a failure domain that may be unreachable; the receiver verifies
        it.
    :param on_heard: called with a failure domain whenever data arrives from it.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        on_suspect: Callable[[str], None],
        on_heard: Callable[[str], None] = lambda failure_domain: None,
    ):
        self._now_ms = now_ms
        self._on_suspect = on_suspect
        self._on_heard = on_heard
        self._heard_ms: dict[str, float] = {}
        self._unreachable_ms: dict[str, dict[str, float]] = {}

    def on_heard(self, failure_domain: str) -> None:
        """Record that data arrived from a host.

        :param failure_domain: failure domain of the host.
        """
        self._heard_ms[failure_domain] = self._now_ms()
        self._on_heard(failure_domain)

    def received_since(self, failure_domain: str, at_ms: float) -> bool:
        """Check whether data has arrived from any host of a domain since a given time.

        :param failure_domain: the domain.
        :param at_ms: the time.
        :returns: True if data has arrived.
        """
        return self._heard_ms.get(failure_domain, float("-inf")) > at_ms

    def on_unreachable(self, failure_domain: str, ip: str) -> None:
        """Record that a host is unreachable.

        :param failure_domain: failure domain of the host.
        :param ip: IP address of the host.
        """
        now_ms = self._now_ms()
        unreachable = self._unreachable_ms.setdefault(failure_domain, {})
        unreachable[ip] = now_ms
        for other, at_ms in list(unreachable.items()):
            if now_ms - at_ms > UNREACHABLE_WINDOW_MS:
                del unreachable[other]
        heard_ms = self._heard_ms.get(failure_domain, float("-inf"))
        if (
            len(unreachable) >= UNREACHABLE_HOSTS_TO_SUSPECT
            and now_ms - heard_ms > RECENTLY_HEARD_MS
        ):
            self._on_suspect(failure_domain)
