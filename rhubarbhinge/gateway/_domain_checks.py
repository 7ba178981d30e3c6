"""Reachability checks of failure domains by a sample of connections."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import DomainReachability, Fleet, ObservedSearcher
from rhubarbhinge.forward import ConnectionPool
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService

SAMPLE_SIZE = 3
"""Number of searchers to which connections are opened to check whether their failure domain is
reachable. If half of the searchers of a domain are down, at least one of three answers with a
probability of 7/8. With this sample size, 195 entries together open about three connections to each
of 174 searchers. One connection from every entry to each searcher would be more than a searcher
accepts."""
VERIFY_TIMEOUT_MS = 30.0
"""A failure domain counts as unreachable if no searcher of the sample has answered within this
time. Opening a connection takes 6 ms plus two network crossings; a connection that opens later
makes the domain count as reachable again."""


class DomainChecks:
    """Checks failure domains in which several hosts have become silent.

    The result applies to all searchers of a failure domain. If no searcher of a sample can be
    reached, all count as down. As soon as anything is received from the domain again, all count as
    up except those that were found down individually. The cost of a check therefore does not grow
    with the size of the domain.

    :param timers: the timer service.
    :param fleet: the searchers.
    :param pool: connections to the searchers.
    :param reachability: tracks which failure domains are heard from.
    :param rng: selects the samples.
    :param on_change: called when the searchers of a domain go down or come back together.
    """

    def __init__(
        self,
        timers: TimerService,
        fleet: Fleet,
        pool: ConnectionPool,
        reachability: DomainReachability,
        rng: random.Random,
        on_change: Callable[[], None],
    ):
        self._timers = timers
        self._fleet = fleet
        self._pool = pool
        self._reachability = reachability
        self._rng = rng
        self._on_change = on_change
        self._being_checked: set[str] = set()
        self._down: dict[str, set[ObservedSearcher]] = {}

    def suspect(self, failure_domain: str) -> None:
        """Check a failure domain that may be unreachable.

        :param failure_domain: the domain.
        """
        if failure_domain in self._being_checked or failure_domain in self._down:
            return
        self._being_checked.add(failure_domain)
        sample = self._sample(self._usable(failure_domain))
        log_event(
            "domain-suspected",
            level="warning",
            failure_domain=failure_domain,
            sample=len(sample),
        )
        since_ms = self._timers.now_ms()
        for observed in sample:
            self._pool.verify(observed)
        self._timers.after(VERIFY_TIMEOUT_MS, lambda: self._finish_check(failure_domain, since_ms))

    def on_heard(self, failure_domain: str) -> None:
        """Use the searchers of a failure domain again, as something was received from it.

        :param failure_domain: the domain.
        """
        down = self._down.pop(failure_domain, None)
        if down is None:
            return
        now_ms = self._timers.now_ms()
        for observed in down:
            observed.on_connected(now_ms)
        log_event("domain-regained", failure_domain=failure_domain, searchers=len(down))
        self._on_change()

    def probe(self) -> None:
        """Reconnect to unreachable searchers, but only to a sample in each unreachable domain."""
        in_unreachable_domains: set[ObservedSearcher] = set()
        for down in self._down.values():
            in_unreachable_domains |= down
            for observed in self._sample([one for one in down if one.usable]):
                self._pool.open_ahead(observed)
        for observed in self._fleet.all():
            if observed.is_down and observed.usable and observed not in in_unreachable_domains:
                self._pool.open_ahead(observed)

    def _finish_check(self, failure_domain: str, since_ms: float) -> None:
        self._being_checked.discard(failure_domain)
        if self._reachability.received_since(failure_domain, since_ms):
            return
        usable = self._usable(failure_domain)
        self._down[failure_domain] = set(usable)
        for observed in usable:
            self._pool.suspend_searcher(observed)
        log_event(
            "domain-unreachable",
            level="warning",
            failure_domain=failure_domain,
            searchers=len(usable),
        )
        self._on_change()

    def _usable(self, failure_domain: str) -> list[ObservedSearcher]:
        return [
            observed
            for observed in self._fleet.all()
            if observed.searcher.failure_domain == failure_domain
            and observed.usable
            and not observed.is_down
        ]

    def _sample(self, searchers: list[ObservedSearcher]) -> list[ObservedSearcher]:
        return self._rng.sample(searchers, min(SAMPLE_SIZE, len(searchers)))
