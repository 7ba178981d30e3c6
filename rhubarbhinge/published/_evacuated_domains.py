"""The failure domains whose searchers get no requests, as the operators ask for."""

from collections.abc import Callable, Iterable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.published._evacuation import Evacuation
from rhubarbhinge.telemetry import log_event


class EvacuatedDomains:
    """The failure domains that are evacuated.

    :param fleet: keeps requests from their searchers.
    :param revision: gives the revision that is known, for the log.
    :param on_change: told each domain that is evacuated or no longer.
    """

    def __init__(
        self, fleet: Fleet, revision: Callable[[], int], on_change: Callable[[Evacuation], None]
    ):
        self._fleet = fleet
        self._revision = revision
        self._on_change = on_change
        self._domains: set[str] = set()

    def all(self) -> tuple[str, ...]:
        """Give the domains that are evacuated.

        :returns: their names, in order.
        """
        return tuple(sorted(self._domains))

    def replace(self, failure_domains: Iterable[str]) -> None:
        """Take a list of all.

        :param failure_domains: the domains that are evacuated; all others are not.
        """
        listed = set(failure_domains)
        self.apply(Evacuation(name, False) for name in sorted(self._domains - listed))
        self.apply(Evacuation(name, True) for name in sorted(listed))

    def apply(self, evacuations: Iterable[Evacuation]) -> None:
        """Take changes.

        :param evacuations: the changes, in order.
        """
        for evacuation in evacuations:
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
            revision=self._revision(),
        )
        self._on_change(evacuation)
        self._fleet.set_evacuated(name, evacuation.begins)
