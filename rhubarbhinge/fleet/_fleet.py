"""All searchers known to this process."""

from collections.abc import Callable, Iterable

from rhubarbhinge.fleet._observed import ObservedSearcher
from rhubarbhinge.fleet._searcher import Searcher


class Fleet:
    """All searchers known to this process, by service.

    Leaving is final for a start of a searcher: once it was published as draining, or found to be
    gone, it receives no new requests, whatever is published about this start later. A later start
    under the same id is treated as a different searcher: nothing learned about the earlier one
    applies to it.

    Searchers of an evacuated failure domain receive no new requests until the evacuation ends.

    :param now_ms: returns the current time.
    :param on_left: called with each searcher that no longer receives new requests.
    """

    def __init__(self, now_ms: Callable[[], float], on_left: Callable[[ObservedSearcher], None]):
        self._now_ms = now_ms
        self._on_left = on_left
        self._by_incarnation: dict[str, ObservedSearcher] = {}
        self._by_service: dict[str, dict[str, ObservedSearcher]] = {}
        self._by_mark: dict[int, ObservedSearcher] = {}
        self._evacuated: set[str] = set()

    def of_service(self, service: str) -> Iterable[ObservedSearcher]:
        """Return the searchers of a service.

        :param service: name of the service.
        :returns: all known searchers, including those that are leaving.
        """
        return self._by_service.get(service, {}).values()

    def is_published(self, service: str) -> bool:
        """Check whether a service has a searcher that accepts new requests, reachable or not.

        :param service: name of the service.
        :returns: True if one is published.
        """
        return any(one.usable for one in self.of_service(service))

    def is_reachable(self, service: str) -> bool:
        """Check whether a service has a searcher that can receive requests.

        :param service: name of the service.
        :returns: True if one is neither leaving nor down.
        """
        return any(one.usable and not one.is_down for one in self.of_service(service))

    def all(self) -> Iterable[ObservedSearcher]:
        """Return all searchers.

        :returns: all known searchers.
        """
        return self._by_incarnation.values()

    def by_mark(self, mark: int) -> ObservedSearcher | None:
        """Return the searcher with a mark.

        :param mark: :attr:`SearcherStart.mark` of its start.
        :returns: the searcher; None if there is none.
        """
        return self._by_mark.get(mark)

    @property
    def reduced_windows(self) -> int:
        """Number of searchers whose send window is below its limit."""
        now_ms = self._now_ms()
        windows = (one.send_window for one in self._by_incarnation.values())
        return sum(window is not None and window.is_reduced(now_ms) for window in windows)

    def put(self, searcher: Searcher) -> None:
        """Add or update a searcher.

        :param searcher: published state; if its start differs from the known one, it is a later
            start.
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
            self._by_mark[known.start.mark] = known
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
        """Start or end the evacuation of a failure domain.

        :param failure_domain: the domain.
        :param evacuated: whether its searchers receive no new requests.
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
        """Remove a searcher whose published entry was deleted.

        :param incarnation: id of the searcher.
        """
        known = self._by_incarnation.pop(incarnation, None)
        if known is None:
            return
        of_service = self._by_service[known.searcher.service]
        del of_service[incarnation]
        if not of_service:
            del self._by_service[known.searcher.service]
        if self._by_mark.get(known.start.mark) is known:
            del self._by_mark[known.start.mark]
        if not known.gone:
            known.gone = True
            self._on_left(known)

    def mark_gone(self, observed: ObservedSearcher) -> None:
        """Record that another searcher replied at this searcher's address.

        :param observed: the searcher that is gone.
        """
        if not observed.gone:
            observed.gone = True
            self._on_left(observed)
