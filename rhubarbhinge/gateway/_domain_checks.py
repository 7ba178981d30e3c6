"""Reachability checks of failure domains by a sample of connections."""

import random
from collections.abc import Callable
from itertools import islice

from msgspec import Struct

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
LATE_RESULT_MS = 5.0
"""A check that ends later than planned by more than this is evaluated after the next poll, as a
process that was busy may not have read yet what has arrived meanwhile."""
REPORT_INTERVAL_MS = 1_000.0
"""Shortest time between a check that found a domain reachable and the next one that a report
starts. Reports are repeated with each heartbeat, every second, for as long as the views differ."""


class _Check(Struct, frozen=True):
    """A check in progress.

    :param failure_domain: the domain.
    :param since_ms: when it started; data that arrives later proves that the domain is reachable.
    :param by_report: searchers to which it opened connections, if a report started it. They stay in
        use until the result is known.
    """

    failure_domain: str
    since_ms: float
    by_report: tuple[ObservedSearcher, ...] = ()


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
    :ivar checks_by_report: number of checks started by reports of other entries.
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
        self.checks_by_report = 0
        self._being_checked: set[str] = set()
        self._reachable_ms: dict[str, float] = {}
        # Insertion-ordered, so that the same seed draws the same samples.
        self._down: dict[str, dict[ObservedSearcher, None]] = {}

    def unreachable(self) -> tuple[str, ...]:
        """Return the failure domains that this entry has verified to be unreachable.

        :returns: those that have searchers.
        """
        if not self._down:
            return ()
        with_searchers = {one.searcher.failure_domain for one in self._fleet.all() if one.usable}
        return tuple(domain for domain in self._down if domain in with_searchers)

    def suspect(self, failure_domain: str) -> None:
        """Check a failure domain that may be unreachable.

        :param failure_domain: the domain.
        """
        if failure_domain in self._being_checked or failure_domain in self._down:
            return
        sample = self._sample(self._usable(failure_domain))
        log_event(
            "domain-suspected",
            level="warning",
            failure_domain=failure_domain,
            sample=len(sample),
        )
        check = _Check(failure_domain, self._timers.now_ms())
        for observed in sample:
            self._pool.verify(observed)
        self._start(check)

    def on_report(self, failure_domain: str, reporter: str) -> None:
        """Check a failure domain that another entry has reported as unreachable.

        In contrast to a suspicion of this entry's own, nothing is taken out of use before the check
        has found the domain unreachable from here.

        :param failure_domain: the domain.
        :param reporter: name of the entry that reported it.
        """
        if failure_domain in self._being_checked or failure_domain in self._down:
            return
        now_ms = self._timers.now_ms()
        reachable_ms = self._reachable_ms.get(failure_domain, float("-inf"))
        if now_ms - reachable_ms < REPORT_INTERVAL_MS:
            return
        sample = self._open_sample(failure_domain)
        if not sample:
            return
        self.checks_by_report += 1
        log_event(
            "domain-reported",
            level="warning",
            failure_domain=failure_domain,
            peer=reporter,
            sample=len(sample),
        )
        self._start(_Check(failure_domain, now_ms, sample))

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
            in_unreachable_domains.update(down)
            for observed in self._sample([one for one in down if one.usable]):
                self._pool.open_ahead(observed)
        for observed in self._fleet.all():
            if observed.is_down and observed.usable and observed not in in_unreachable_domains:
                self._pool.open_ahead(observed)

    def _start(self, check: _Check) -> None:
        self._being_checked.add(check.failure_domain)
        self._timers.after(VERIFY_TIMEOUT_MS, lambda: self._on_check_due(check))

    def _on_check_due(self, check: _Check) -> None:
        if self._timers.now_ms() - check.since_ms > VERIFY_TIMEOUT_MS + LATE_RESULT_MS:
            self._timers.after(0, lambda: self._finish_check(check))
        else:
            self._finish_check(check)

    def _finish_check(self, check: _Check) -> None:
        failure_domain = check.failure_domain
        self._being_checked.discard(failure_domain)
        if self._reachability.received_since(failure_domain, check.since_ms):
            self._reachable_ms[failure_domain] = self._timers.now_ms()
            return
        for observed in check.by_report:
            if observed.usable and not observed.is_down:
                self._pool.verify(observed)
        usable = self._usable(failure_domain)
        self._down[failure_domain] = dict.fromkeys(usable)
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

    def _open_sample(self, failure_domain: str) -> tuple[ObservedSearcher, ...]:
        """Open connections to a sample, without searchers at their limit of connections.

        If all connections to a searcher are in use, its silence for the duration of a check proves
        nothing.
        """
        usable = self._usable(failure_domain)
        opening = filter(self._pool.open_ahead, self._rng.sample(usable, len(usable)))
        return tuple(islice(opening, SAMPLE_SIZE))

    def _sample(self, searchers: list[ObservedSearcher]) -> list[ObservedSearcher]:
        return self._rng.sample(searchers, min(SAMPLE_SIZE, len(searchers)))
