"""Whether failure domains can be reached, concluded from single hosts."""

from collections.abc import Callable

SILENT_HOSTS = 2
"""Hosts out of reach at which their domain is suspected; one may have failed alone."""
SILENT_SPAN_MS = 1_000.0
"""Within so long of each other they count together; each is found when it is next used."""
HEARD_MS = 300.0
"""A domain that sent anything within so long is not cut off. Below the 400 ms of silence after
which a host is given up, above the 250 ms for which a searcher may pause."""


class DomainReach:
    """Concludes from hosts that are out of reach that their whole failure domain may be.

    Each searcher of a domain that is cut off would otherwise be found out by a request of its own,
    which waits in vain for hundreds of milliseconds.

    :param now_ms: gives the time.
    :param on_suspect: told a failure domain that may be out of reach; whoever is told verifies it.
    :param on_heard: told a failure domain each time that it is heard from.
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
        self._silent_ms: dict[str, dict[str, float]] = {}

    def on_heard(self, failure_domain: str) -> None:
        """Note that a host sent something.

        :param failure_domain: where it runs.
        """
        self._heard_ms[failure_domain] = self._now_ms()
        self._on_heard(failure_domain)

    def heard_since(self, failure_domain: str, at_ms: float) -> bool:
        """Tell whether any host of a domain has sent something since a time.

        :param failure_domain: the domain.
        :param at_ms: the time.
        :returns: whether one has.
        """
        return self._heard_ms.get(failure_domain, float("-inf")) > at_ms

    def on_unreachable(self, failure_domain: str, ip: str) -> None:
        """Note that a host can't be reached.

        :param failure_domain: where it runs.
        :param ip: its IP address.
        """
        now_ms = self._now_ms()
        silent = self._silent_ms.setdefault(failure_domain, {})
        silent[ip] = now_ms
        for other, at_ms in list(silent.items()):
            if now_ms - at_ms > SILENT_SPAN_MS:
                del silent[other]
        heard_ms = self._heard_ms.get(failure_domain, float("-inf"))
        if len(silent) >= SILENT_HOSTS and now_ms - heard_ms > HEARD_MS:
            self._on_suspect(failure_domain)
