"""Failure domains that may be out of reach, verified by a few connections."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import DomainReachability, Fleet, ObservedSearcher
from rhubarbhinge.forward import ConnectionPool
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService

SAMPLE = 3
"""Searchers to which connections are opened, to find out whether their domain can be reached. Of a
domain in which half of the searchers are down, one of three answers in seven cases of eight. All of
195 entries together open some three to each of 174 searchers; one to each from every entry, as many
as a domain has, are more than a searcher takes."""
VERIFY_MS = 30.0
"""A domain none of whose sample has answered by then counts as out of reach. A connection takes 6
ms and two crossings; one that takes longer ends the conclusion as soon as it is open."""


class DomainChecks:
    """Verifies failure domains in which several hosts fell silent.

    What is concluded holds for all searchers of a domain: when none of a sample can be reached, all
    count as down, and when anything is heard from the domain again, all that were not found out one
    by one are up again. So what a check costs does not grow with the domain.

    :param timers: the timer service.
    :param fleet: the searchers.
    :param pool: connections to them.
    :param reachability: which domains are heard from.
    :param rng: draws the samples.
    :param on_change: told when searchers of a domain went down or came back together.
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
        self._checked: set[str] = set()
        self._down: dict[str, set[ObservedSearcher]] = {}

    def suspect(self, failure_domain: str) -> None:
        """Verify a domain that may be out of reach.

        :param failure_domain: the domain.
        """
        if failure_domain in self._checked or failure_domain in self._down:
            return
        self._checked.add(failure_domain)
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
        self._timers.after(VERIFY_MS, lambda: self._conclude(failure_domain, since_ms))

    def heard(self, failure_domain: str) -> None:
        """Use the searchers of a domain again from which something was heard.

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
        """Try searchers that can't be reached; of a domain that is out of reach only a few."""
        aside: set[ObservedSearcher] = set()
        for down in self._down.values():
            aside |= down
            for observed in self._sample([one for one in down if one.usable]):
                self._pool.open_ahead(observed)
        for observed in self._fleet.all():
            if observed.is_down and observed.usable and observed not in aside:
                self._pool.open_ahead(observed)

    def _conclude(self, failure_domain: str, since_ms: float) -> None:
        self._checked.discard(failure_domain)
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
        return self._rng.sample(searchers, min(SAMPLE, len(searchers)))
