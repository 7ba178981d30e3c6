"""Simulation of entries that delegate shards to each other, with simulated links and searchers.

The components that decide on attempts are the real ones. Links lose and delay messages and break,
entries pause, and searchers execute, refuse or fail requests or do not reply, all derived from one
seed. The results are judged by the requests that the searchers executed.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from unittest import mock

from rhubarbhinge.delegation import (
    DelegateClient,
    DelegatedSender,
    DelegateRequest,
    DelegateServer,
    _client,
    _server,
)
from rhubarbhinge.fleet import Delays, DomainReachability, Fleet, Searcher, expected_cost
from rhubarbhinge.forward import (
    CallContext,
    CallerRequest,
    CallTerms,
    Exchange,
    FailureReason,
    Lost,
    NotRun,
    Outcome,
    Replied,
    RequestTrace,
    SearcherReply,
)
from rhubarbhinge.gateway import _shard_delegation
from rhubarbhinge.gateway._call_terms import call_terms, delegated_call_terms
from rhubarbhinge.gateway.tests.simulated_links import (
    FaultRates,
    HostTimers,
    Network,
    SimulatedLinks,
)
from rhubarbhinge.gather import Gathered, GatherTerms, ScatterGather, TooFewShards
from rhubarbhinge.members import Member
from rhubarbhinge.plans import ShardSet
from rhubarbhinge.retries import BudgetRule, RetryBudget
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.utils.fake_timers import FakeTimers

PORT = 7_000
TARGET_MS = 180.0
WAIT_MS = 1_000.0
SHARDS_PER_ENTRY = 2
"""Replaces the larger real limit, so that a search of a few shards is divided among entries."""
DOMAINS = ("hall-a", "hall-b", "hall-c")
ENTRIES = {"a-1": "hall-a", "a-2": "hall-a", "b-1": "hall-b", "b-2": "hall-b", "c-1": "hall-c"}


class SimulatedAttempt:
    """One request to one searcher.

    :param searchers: all searchers.
    :param timers: timers of the sending entry.
    :param exchange: the request and its searcher.
    :param on_outcome: called with the outcome.
    """

    def __init__(self, searchers: "Searchers", timers: HostTimers, exchange: Exchange, on_outcome):
        self._searchers = searchers
        self._timers = timers
        self._exchange = exchange
        self._on_outcome = on_outcome
        self._over = False
        self.sent = False
        rng, faults = searchers.rng, searchers.faults
        if rng.random() < faults.unreachable:
            timers.after(
                rng.choice((0.0, 5.0, 350.0)), lambda: self._end(NotRun(FailureReason.UNREACHABLE))
            )
        elif rng.random() < faults.queued:
            timers.after(rng.uniform(1.0, 200.0), self._write)
        else:
            self._write()

    def _write(self) -> None:
        if self._over:
            return
        self.sent = True
        rng, faults = self._searchers.rng, self._searchers.faults
        # A written request may be executed even if it is cancelled afterwards.
        refused = rng.random() < faults.refuse
        if not refused:
            self._searchers.run(self._exchange)
        delay_ms = rng.uniform(2.0, 250.0)
        outcome = NotRun(FailureReason.NO_ROOM) if refused else self._run_outcome(rng, faults)
        if outcome is not None:
            self._timers.after(delay_ms, lambda: self._end(outcome))

    def _run_outcome(self, rng: random.Random, faults: FaultRates) -> Outcome | None:
        drawn = rng.random()
        if drawn < faults.hang:
            return None
        drawn = rng.random()
        if drawn < faults.drop_reply:
            return Lost(FailureReason.BROKEN)
        status = 500 if rng.random() < faults.fail else 200
        signature = f"sig-{self._exchange.searcher.searcher.incarnation}"
        request_id = self._exchange.request.id
        reply = SearcherReply(status, (), b"r" * 16, request_id, signature, False, False, None)
        return Replied(reply, 10.0)

    def _end(self, outcome: Outcome) -> None:
        if not self._over:
            self._over = True
            self._on_outcome(outcome)

    def cancel(self) -> None:
        self._over = True


class Searchers:
    """All searchers, which record the requests that they execute.

    :param rng: source of their behaviour.
    :param faults: probabilities of faults.
    """

    def __init__(self, rng: random.Random, faults: FaultRates):
        self.rng = rng
        self.faults = faults
        self.ran: dict[tuple[str, str], set[str]] = defaultdict(set)

    def run(self, exchange: Exchange) -> None:
        searcher = exchange.searcher.searcher
        self.ran[exchange.request.id, searcher.service].add(searcher.incarnation)


class StaticMembers:
    """Fixed membership of all entries.

    :param name: name of this entry.
    """

    def __init__(self, name: str):
        self.me = _member(name)
        self._others = [_member(other) for other in ENTRIES if other != name]

    def live(self, failure_domain: str) -> list[Member]:
        return [member for member in self._others if member.failure_domain == failure_domain]

    def on_domain_contact(self, failure_domain: str) -> None:
        pass


class SimulatedEntry:
    """One entry, without callers, published state and real sockets.

    :param simulation: the simulation.
    :param name: name of the entry.
    """

    def __init__(self, simulation: "SearchSimulation", name: str):
        self.timers = HostTimers(simulation.timers)
        self.simulation = simulation
        self.delays = Delays(20.0)
        domain = ENTRIES[name]
        rng = random.Random(simulation.rng.getrandbits(32))
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        for searcher in simulation.published:
            fleet.put(searcher)
        budget = RetryBudget(BudgetRule(0.2, 100.0, 10_000.0), self.timers.now_ms, lambda: 1)
        self.context = CallContext(
            self.timers,
            fleet,
            expected_cost(domain, rng),
            budget,
            lambda exchange, on_outcome: self._delegated_sender.send(exchange, on_outcome),
            Metrics(),
        )

        def links(*arguments: object, **more: object) -> SimulatedLinks:
            return SimulatedLinks(simulation.network, name, self.timers, *arguments, **more)

        reachability = DomainReachability(self.timers.now_ms, lambda failure_domain: None)
        with (
            mock.patch.object(_client, "Links", links),
            mock.patch.object(_server, "Links", links),
        ):
            self.delegate_client = DelegateClient(
                self.timers, StaticMembers(name), PORT, rng, reachability
            )
            self.delegate_server = DelegateServer(
                self.timers,
                self.context,
                self._delegated_call_terms,
                lambda route, target_ms: self.delays,
                (name, PORT),
            )
        self._delegated_sender = DelegatedSender(
            self.timers, self.delegate_client, domain, self._send
        )
        self.delegation = _shard_delegation.shard_delegation(
            domain, self.context, self.delegate_client, rng
        )

    def _send(self, exchange: Exchange, on_outcome: Callable[[Outcome], None]) -> SimulatedAttempt:
        return SimulatedAttempt(self.simulation.searchers, self.timers, exchange, on_outcome)

    def _delegated_call_terms(self, request: DelegateRequest, delays: Delays) -> CallTerms:
        return delegated_call_terms(request, delays, self.timers.now_ms())

    def search(
        self, request_id: str, shards: ShardSet, max_attempts: int, on_end: Callable
    ) -> ScatterGather:
        """Start a caller's search."""
        now_ms = self.timers.now_ms()
        terms = GatherTerms(
            "route",
            shards,
            TARGET_MS,
            now_ms + 0.9 * TARGET_MS,
            call_terms(
                "route",
                TARGET_MS,
                True,
                max_attempts,
                1,
                now_ms,
                now_ms + WAIT_MS,
                self.delays,
                now_ms + 0.9 * TARGET_MS,
                shards.top_k,
            ),
        )
        request = CallerRequest(request_id, b"GET /x HTTP/1.1\r\n", b"", WAIT_MS)
        search = ScatterGather(
            self.context,
            request,
            terms,
            self.delays,
            self.delegation,
            on_end,
            RequestTrace(request_id, self.timers.now_ms),
        )
        search.start()
        return search


class SearchSimulation:
    """Entries and searchers with one randomly chosen set of fault probabilities.

    :param seed: seed of the random numbers.
    """

    entry_type = SimulatedEntry

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.timers = FakeTimers()
        self.faults = FaultRates(self.rng)
        self.network = Network(self.timers, self.rng, self.faults)
        self.searchers = Searchers(self.rng, self.faults)
        self.shards = ShardSet(tuple(f"s{n}" for n in range(6)), 2, 0.8)
        self.max_attempts = self.rng.choice((1, 2, 2, 3))
        self.published = [
            Searcher(f"{shard}-{place}", shard, "10.0.0.1", 80, self.rng.choice(DOMAINS), 2)
            for shard in self.shards.services
            for place in range(self.rng.choice((2, 3, 4)))
        ]
        self.entries = {name: self.entry_type(self, name) for name in ENTRIES}
        self.results: list[Gathered | TooFewShards] = []

    def run(self, searches: int = 6) -> None:
        """Start searches at several entries, some of which are cancelled by their callers."""
        for entry in self.entries.values():
            for domain in DOMAINS:
                entry.delegate_client.choose(domain, 2)
        self.timers.advance(10.0)
        for number in range(searches):
            self._pause_entries()
            entry = self.entries[self.rng.choice(list(ENTRIES))]
            search = entry.search(f"r{number}", self.shards, self.max_attempts, self.results.append)
            entry.timers.after(WAIT_MS, search.time_out)
            if self.rng.random() < 0.2:
                self.timers.after(self.rng.uniform(1.0, 200.0), search.cancel)
            self.timers.advance(self.rng.choice((5.0, 60.0, 300.0)))
        self.timers.advance(3 * WAIT_MS)

    def _pause_entries(self) -> None:
        for entry in self.entries.values():
            if self.rng.random() < self.faults.pause:
                entry.timers.paused_until_ms = self.timers.now_ms() + self.rng.uniform(20.0, 400.0)

    def max_searchers(self) -> int:
        """Return the maximum number of searchers of one shard that executed the same request."""
        return max((len(names) for names in self.searchers.ran.values()), default=0)


def _member(name: str) -> Member:
    return Member(name, name, ENTRIES[name], 1)
