"""All searchers that this process knows."""

from collections.abc import Callable, Iterable

from rhubarbhinge.fleet._observed import ObservedSearcher
from rhubarbhinge.fleet._searcher import Searcher


class Fleet:
    """All searchers that this process knows, by service.

    Leaving is final for a start of a searcher: what was published as draining, or was found to have
    left, gets no new request whatever is published of this start later. A later start under the
    same id is another searcher: nothing that was learned of the one before holds for it.

    Those of a failure domain that is evacuated get no new request either, until it is no longer.

    :param now_ms: gives the time.
    :param on_left: told each searcher that may get no new request any more.
    """

    def __init__(self, now_ms: Callable[[], float], on_left: Callable[[ObservedSearcher], None]):
        self._now_ms = now_ms
        self._on_left = on_left
        self._by_incarnation: dict[str, ObservedSearcher] = {}
        self._by_service: dict[str, dict[str, ObservedSearcher]] = {}
        self._evacuated: set[str] = set()

    def of(self, service: str) -> Iterable[ObservedSearcher]:
        """Give the searchers of a service.

        :param service: the service's name.
        :returns: all that are known, those that leave included.
        """
        return self._by_service.get(service, {}).values()

    def is_published(self, service: str) -> bool:
        """Tell whether a service has a searcher that is not leaving, reachable from here or not.

        :param service: the service's name.
        :returns: whether one is published.
        """
        return any(one.usable for one in self.of(service))

    def is_reachable(self, service: str) -> bool:
        """Tell whether a service has a searcher that may get requests.

        :param service: the service's name.
        :returns: whether one is neither leaving nor down.
        """
        return any(one.usable and not one.is_down for one in self.of(service))

    def all(self) -> Iterable[ObservedSearcher]:
        """Give all searchers.

        :returns: all that are known.
        """
        return self._by_incarnation.values()

    def put(self, searcher: Searcher) -> None:
        """Take what is published about a searcher.

        :param searcher: what is published; if it is another start than the known one, a later one.
        """
        known = self._by_incarnation.get(searcher.incarnation)
        if known is not None and not known.searcher.is_same_start(searcher):
            self.remove(searcher.incarnation)
            known = None
        if known is None:
            known = ObservedSearcher(searcher, self._now_ms())
            known.evacuated = searcher.failure_domain in self._evacuated
            self._by_incarnation[searcher.incarnation] = known
            self._by_service.setdefault(searcher.service, {})[searcher.incarnation] = known
            return
        was_usable = known.usable
        if known.searcher.draining and not searcher.draining:
            return
        if searcher.warmup_ms:
            known.warm_at_ms = self._now_ms() + searcher.warmup_ms
        known.searcher = searcher
        if was_usable and not known.usable:
            self._on_left(known)

    def set_evacuated(self, failure_domain: str, evacuated: bool) -> None:
        """Keep requests from the searchers of a failure domain, or let them have some again.

        :param failure_domain: the domain.
        :param evacuated: whether they get none.
        """
        if evacuated:
            self._evacuated.add(failure_domain)
        else:
            self._evacuated.discard(failure_domain)
        for observed in self._by_incarnation.values():
            if observed.searcher.failure_domain != failure_domain:
                continue
            was_usable = observed.usable
            observed.evacuated = evacuated
            if was_usable and not observed.usable:
                self._on_left(observed)
            elif observed.usable and not was_usable:
                observed.on_returned(self._now_ms())

    def remove(self, incarnation: str) -> None:
        """Forget a searcher whose entry is gone.

        :param incarnation: the searcher.
        """
        known = self._by_incarnation.pop(incarnation, None)
        if known is None:
            return
        of_service = self._by_service[known.searcher.service]
        del of_service[incarnation]
        if not of_service:
            del self._by_service[known.searcher.service]
        if not known.gone:
            known.gone = True
            self._on_left(known)

    def mark_gone(self, observed: ObservedSearcher) -> None:
        """Note that another searcher answered at this one's address.

        :param observed: the searcher that has gone.
        """
        if not observed.gone:
            observed.gone = True
            self._on_left(observed)
