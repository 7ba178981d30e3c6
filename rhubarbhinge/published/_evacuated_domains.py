"""The failure domains that operators have evacuated."""

from collections.abc import Callable, Iterable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.published._evacuation import Evacuation
from rhubarbhinge.published._lapsed_names import LapsedNames
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision

REWRITE_GRACE_MS = 2_000.0
"""Time within which operator settings are written again after the platform was restored from a
backup."""


class EvacuatedDomains:
    """The failure domains that are evacuated.

    A backup of the platform may lack evacuations that operators requested after it was taken. These
    stay in effect until they are written again, or for ``REWRITE_GRACE_MS``.

    :param timers: the timer service.
    :param fleet: stops sending requests to the searchers of these domains.
    :param revision: returns the current revision, for log events.
    :param on_change: called with each domain whose evacuation starts or ends.
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
        self._lapsed = LapsedNames(timers, lambda name: self._set(Evacuation(name, False)))

    def all(self) -> tuple[str, ...]:
        """Return the evacuated domains.

        :returns: their names, sorted.
        """
        return tuple(sorted(self._domains))

    def replace(self, failure_domains: Iterable[str], restored: bool = False) -> None:
        """Apply a complete list of the evacuated domains.

        :param failure_domains: the domains that are evacuated; all others are not.
        :param restored: whether the list comes from a platform restored from a backup.
        """
        listed = set(failure_domains)
        missing = sorted(self._domains - listed)
        if restored:
            self._lapsed.restart_periods(REWRITE_GRACE_MS)
            for name in missing:
                self._lapsed.retain(name, REWRITE_GRACE_MS)
        self.apply(Evacuation(name, False) for name in missing if name not in self._lapsed)
        self.apply(Evacuation(name, True) for name in sorted(listed))

    def apply(self, evacuations: Iterable[Evacuation]) -> None:
        """Apply changes.

        :param evacuations: the changes, in order.
        """
        for evacuation in evacuations:
            self._lapsed.discard(evacuation.failure_domain)
            if (evacuation.failure_domain in self._domains) != evacuation.begins:
                self._set(evacuation)

    def _set(self, evacuation: Evacuation) -> None:
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
