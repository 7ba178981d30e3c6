"""Simulated entries that share reachability and requests, on one clock and network."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import DomainReachability, ObservedSearcher, Searcher
from rhubarbhinge.fleet import Fleet as Searchers
from rhubarbhinge.gateway._domain_checks import DomainChecks
from rhubarbhinge.gateway._full_searchers import FullSearchers
from rhubarbhinge.gateway._heartbeat_extras import heartbeat_extras
from rhubarbhinge.gateway._partition import several_domains
from rhubarbhinge.gateway._readiness import DomainReadiness
from rhubarbhinge.gateway._serving_state import ServingState
from rhubarbhinge.members import Heartbeat
from rhubarbhinge.members.tests.simulated import Fleet, Node
from rhubarbhinge.peers._local_rounds import LocalRounds
from rhubarbhinge.plans import CallerLimits, Route, ServingPlan, ShardSet

CONNECT_MS = 8.0
PROBE_MS = 250.0
SHARDS = tuple(f"shard-{number}" for number in range(20))
SEARCH = Route("search", "a", "/", True, 800.0, 200.0, 1, 2, (), ShardSet(SHARDS, 20, 0.95))
PLAN = ServingPlan(1, (SEARCH,), {}, CallerLimits())


class FakePool:
    """Connections that open after some milliseconds, unless the searcher is cut off."""

    def __init__(
        self, timers, is_cut: Callable[[ObservedSearcher], bool], is_full=lambda one: False
    ):
        self.timers, self.is_cut, self.is_full = timers, is_cut, is_full
        self.opened: list[ObservedSearcher] = []
        self.suspended: list[ObservedSearcher] = []
        self.connect_ms: Callable[[ObservedSearcher], float] = lambda observed: CONNECT_MS
        self.on_heard: Callable[[str], None] = lambda domain: None

    def open_ahead(self, observed: ObservedSearcher) -> bool:
        if self.is_full(observed):
            return False
        self.opened.append(observed)
        if not self.is_cut(observed):
            self.timers.after(self.connect_ms(observed), lambda: self._opened(observed))
        return True

    def verify(self, observed: ObservedSearcher) -> None:
        self.suspend_searcher(observed)
        self.open_ahead(observed)

    def suspend_searcher(self, observed: ObservedSearcher) -> None:
        observed.on_unreachable()
        self.suspended.append(observed)

    def _opened(self, observed: ObservedSearcher) -> None:
        observed.on_connected(self.timers.now_ms())
        self.on_heard(observed.searcher.failure_domain)


class View:
    """The searchers as seen by one entry, with its checks of failure domains."""

    def __init__(self, timers, pool: FakePool, searcher_domains, rng, on_change=lambda: None):
        self.searchers = Searchers(timers.now_ms, lambda observed: None)
        for shard in SHARDS:
            for place, domain in enumerate(searcher_domains):
                name, ip = f"i-{shard}-{place}", f"10.9.{place}.{shard[6:]}"
                self.searchers.put(Searcher(name, shard, ip, 80, domain, 2))
        self.reachability = DomainReachability(
            timers.now_ms,
            lambda domain: self.checks.suspect(domain),
            lambda domain: self.checks.on_heard(domain),
        )
        self.pool = pool
        pool.on_heard = self.reachability.on_heard
        self.checks = DomainChecks(timers, self.searchers, pool, self.reachability, rng, on_change)

    def down(self) -> int:
        return sum(one.is_down for one in self.searchers.all())


class Entry(Node):
    """An entry with requests, searchers and readiness; ``changes`` lists its states."""

    def __init__(self, fleet: "Deployment", name: str, domain: str, ip: str, seeds):
        super().__init__(fleet, name, domain, ip, seeds)
        self.requests: dict[str, int] = {}
        self.changes: list[bool] = []
        rng = random.Random(name)
        pool = FakePool(self, lambda one: fleet.is_cut(self, one.searcher.failure_domain))
        self.view = View(self, pool, fleet.searcher_domains, rng, self._domain_changed)
        self.has_several = several_domains(domain, self.view.searchers, lambda: self.membership)
        searchers, own = self.view.searchers, lambda: self.requests
        self.readiness = DomainReadiness(
            self.now_ms, lambda: PLAN, searchers, own, self.has_several
        )
        full_searchers = FullSearchers(searchers, self.now_ms)
        self.extras = heartbeat_extras(
            self.view.checks, self.readiness, self.has_several, full_searchers
        )
        self.rounds = LocalRounds(self, self.membership, rng)
        self.state = ServingState(
            self.now_ms, self.view.searchers, self.readiness.is_ready, self._serving_changed
        )
        self.after(rng.uniform(0.0, PROBE_MS), self._run_housekeeping)

    def receive(self, heartbeat: Heartbeat, ip: str) -> None:
        super().receive(heartbeat, ip)
        if heartbeat.failure_domain == self.domain and heartbeat.name != self.name:
            self.extras.on_received(heartbeat)

    def _send(self, ip: str, heartbeat: Heartbeat) -> None:
        if any(one.ip == ip for one in self.membership.table.present(self.domain)):
            heartbeat = self.extras.add_to(heartbeat)
        super()._send(ip, heartbeat)

    def _run_housekeeping(self) -> None:
        self.view.checks.probe()
        self.state.update()
        self.after(PROBE_MS, self._run_housekeeping)

    def _domain_changed(self) -> None:
        self.state.update()
        if self.has_several():
            self.rounds.announce()

    def _serving_changed(self, serving: bool) -> None:
        self.changes.append(serving)
        if not serving and self.has_several() and self.readiness.requests_to_report():
            self.rounds.announce_to_all()


class Deployment(Fleet):
    """Entries of one failure domain, whose connections to searchers can be cut."""

    def __init__(self, domains: dict[str, list[str]], searcher_domains: tuple[str, ...]):
        super().__init__(domains)
        self.searcher_domains = searcher_domains
        self.is_cut: Callable[[Entry, str], bool] = lambda entry, domain: False

    def start(self, name: str) -> Entry:
        entry = Entry(self, name, next(iter(self.domains)), self._ips[name], self.seeds)
        self.nodes[name] = self.by_ip[entry.ip] = entry
        self.entries = [one for one in self.nodes.values() if one.running]
        entry.membership.start()
        return entry
