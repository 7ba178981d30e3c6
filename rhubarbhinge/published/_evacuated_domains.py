"""The failure domains whose searchers get no requests, as the operators ask for."""

from collections.abc import Callable, Iterable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.published._evacuation import Evacuation
from rhubarbhinge.published._lapsed import LapsedNames
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision

REWRITE_MS = 2_000.0
"""What the operators wrote is back so long after the platform has come back from a copy."""


class EvacuatedDomains:
    """The failure domains that are evacuated.

    A copy of the platform may lack evacuations that the operators have asked for since: those are
    kept until they are written again, or for ``REWRITE_MS``.

    :param timers: the timer service.
    :param fleet: keeps requests from their searchers.
    :param revision: gives the revision that is known, for the log.
    :param on_change: told each domain that is evacuated or no longer.
    """

    def __init__(
        self,
        timers: TimerService,
        fleet: Fleet,
        revision: Callable[[], Revision],
        on_change: Callable[[Evacuation], None],
    ):
        self._fleet = fleet
        self._revision = revision
        self._on_change = on_change
        self._domains: set[str] = set()
        self._lapsed = LapsedNames(timers, lambda name: self._take(Evacuation(name, False)))

    def all(self) -> tuple[str, ...]:
        """Give the domains that are evacuated.

        :returns: their names, in order.
        """
        return tuple(sorted(self._domains))

    def replace(self, failure_domains: Iterable[str], restored: bool = False) -> None:
        """Take a list of all.

        :param failure_domains: the domains that are evacuated; all others are not.
        :param restored: whether it goes back to a copy.
        """
        listed = set(failure_domains)
        missing = sorted(self._domains - listed)
        if restored:
            self._lapsed.keep_longer(REWRITE_MS)
            for name in missing:
                self._lapsed.keep(name, REWRITE_MS)
        self.apply(Evacuation(name, False) for name in missing if name not in self._lapsed)
        self.apply(Evacuation(name, True) for name in sorted(listed))

    def apply(self, evacuations: Iterable[Evacuation]) -> None:
        """Take changes.

        :param evacuations: the changes, in order.
        """
        for evacuation in evacuations:
            self._lapsed.discard(evacuation.failure_domain)
            if (evacuation.failure_domain in self._domains) != evacuation.begins:
                self._take(evacuation)

    def _take(self, evacuation: Evacuation) -> None:
        name = evacuation.failure_domain
        if evacuation.begins:
            self._domains.add(name)
        else:
            self._domains.discard(name)
        log_event(
            "domain-evacuated" if evacuation.begins else "domain-restored",
            level="warning",
            failure_domain=name,
            revision=str(self._revision()),
        )
        self._on_change(evacuation)
        self._fleet.set_evacuated(name, evacuation.begins)
