"""Simulation of a request that crashes the searchers executing it, over simulated links.

Extends :mod:`simulated_attempts` by searchers that end and restart, and by entries that exchange
their suspicions in datagrams, which are lost and delayed. The results are judged by the attempts of
the caller that reached searchers, and by their times.
"""

import random
from collections import defaultdict

from msgspec.structs import replace

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward import CallerRequest, Exchange, FailureReason, Lost, NotRun, RequestTrace
from rhubarbhinge.gateway._call_terms import call_terms
from rhubarbhinge.gateway.tests.simulated_attempts import (
    ENTRIES,
    TARGET_MS,
    WAIT_MS,
    Searchers,
    SearchSimulation,
    SimulatedAttempt,
    SimulatedEntry,
    StaticMembers,
)
from rhubarbhinge.gather import Gathered, GatherTerms, ScatterGather, TooFewShards
from rhubarbhinge.members import Member
from rhubarbhinge.peers import QuarantineGossip
from rhubarbhinge.quarantine import ONE_FIRST, Quarantine, Quarantined

FATAL = "f" * 32
FATAL_HEAD = b"GET /fatal HTTP/1.1\r\n"
RESTART_MS = 3_000.0
HEARTBEAT_MS = 1_000.0
SETTLE_MS = 4_000.0
"""Time after its start or a pause until an entry is expected to know the suspicions of others."""
MIN_ENDED_SEARCHERS = 3
"""Number of ended searchers from which the tested limit applies."""


class StaticMemberTable:
    """Member table that provides the failure domains."""

    def domains(self) -> set[str]:
        return set(ENTRIES.values())


class GossipMembers(StaticMembers):
    """Fixed membership of all entries, with datagrams between them.

    :param simulation: the simulation.
    :param name: name of this entry.
    """

    def __init__(self, simulation: "FatalRequestSimulation", name: str):
        super().__init__(name)
        self._simulation = simulation
        self.table = StaticMemberTable()

    def all_live(self) -> list[Member]:
        return self._others

    def send_heartbeat(self, ip: str) -> None:
        self._simulation.send_gossip(self.me.name, ip)


class FatalSearchers(Searchers):
    """Searchers that end and restart.

    :param simulation: the simulation.
    """

    def __init__(self, simulation: "FatalRequestSimulation"):
        super().__init__(simulation.rng, simulation.faults)
        self.simulation = simulation
        self.down: set[str] = set()
        self.ends_ms: list[float] = []
        self.arrived: dict[str, list[tuple[float, str]]] = defaultdict(list)

    def run(self, exchange: Exchange) -> None:
        super().run(exchange)
        if exchange.request.head == FATAL_HEAD:
            at_ms = self.simulation.timers.now_ms()
            name = exchange.searcher.searcher.incarnation
            self.arrived[exchange.request.id].append((at_ms, name))

    def end(self, searcher: Searcher) -> None:
        name = searcher.incarnation
        if name in self.down:
            return
        self.down.add(name)
        self.ends_ms.append(self.simulation.timers.now_ms())
        self.simulation.timers.after(RESTART_MS, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        self.down.discard(name)
        self.simulation.publish(name)


class FatalAttempt(SimulatedAttempt):
    """One request to one searcher, which may end the searcher."""

    def _write(self) -> None:
        searchers, searcher = self._searchers, self._exchange.searcher.searcher
        if searcher.incarnation in searchers.down:
            self._timers.after(1.0, lambda: self._end(NotRun(FailureReason.UNREACHABLE)))
            return
        if self._exchange.request.head != FATAL_HEAD:
            super()._write()
            return
        if self._over:
            return
        self.sent = True
        searchers.run(self._exchange)
        ends_ms = searchers.rng.uniform(2.0, 60.0)
        searchers.simulation.timers.after(ends_ms, lambda: searchers.end(searcher))
        self._timers.after(ends_ms + 2.0, lambda: self._end(Lost(FailureReason.BROKEN, True)))


class FatalEntry(SimulatedEntry):
    """One entry with its quarantine of fatal requests."""

    def __init__(self, simulation: "FatalRequestSimulation", name: str):
        super().__init__(simulation, name)
        self.name = name
        self.last_disruption_ms = simulation.timers.now_ms()
        rng = random.Random(simulation.rng.getrandbits(32))
        self.quarantine = Quarantine(
            self.timers.now_ms,
            lambda fingerprint: self.quarantine_gossip.may_try(fingerprint),
            lambda: self.quarantine_gossip.announce(),
            rng,
        )
        self.quarantine_gossip = QuarantineGossip(
            self.timers, GossipMembers(simulation, name), self.quarantine, rng
        )
        self.timers.after(simulation.rng.uniform(0.0, HEARTBEAT_MS), self._send_heartbeat)

    def _send(self, exchange, on_outcome) -> FatalAttempt:
        return FatalAttempt(self.simulation.searchers, self.timers, exchange, on_outcome)

    def _send_heartbeat(self) -> None:
        self.timers.after(HEARTBEAT_MS, self._send_heartbeat)
        others = [name for name in ENTRIES if name != self.name]
        for name in self.simulation.rng.sample(others, 2):
            self.simulation.send_gossip(self.name, name)

    def handle_request(self, request_id: str, fatal: bool, on_end) -> None:
        """Handle a caller's request as the gateway does."""
        fingerprint = FATAL if fatal else request_id
        decision = self.quarantine.decide(fingerprint, "route")
        if isinstance(decision, Quarantined):
            on_end(None)
            return
        over = []

        def ended(result: Gathered | TooFewShards) -> None:
            over.append(True)
            watch.close()
            on_end(result)

        def stopped() -> None:
            search.cancel()
            ended(TooFewShards((), True))

        watch = self.quarantine.watch(fingerprint, "route", decision == ONE_FIRST, stopped)
        search = self._create_search(request_id, fatal, watch, ended)
        search.start()
        self.timers.after(WAIT_MS, lambda: over or search.time_out())

    def _create_search(self, request_id: str, fatal: bool, watch, on_end) -> ScatterGather:
        now_ms, simulation = self.timers.now_ms(), self.simulation
        due_ms = now_ms + 0.9 * TARGET_MS
        call = call_terms(
            "route",
            TARGET_MS,
            True,
            simulation.max_attempts,
            1,
            now_ms,
            now_ms + WAIT_MS,
            self.delays,
            due_ms,
            simulation.shards.top_k,
        )
        terms = GatherTerms(
            "route", simulation.shards, TARGET_MS, due_ms, replace(call, control=watch)
        )
        head = FATAL_HEAD if fatal else b"GET /x HTTP/1.1\r\n"
        return ScatterGather(
            self.context,
            CallerRequest(request_id, head, b"", WAIT_MS),
            terms,
            self.delays,
            self.delegation,
            on_end,
            RequestTrace(request_id, self.timers.now_ms),
        )


class FatalRequestSimulation(SearchSimulation):
    """Entries, their searchers, and one caller that repeats the same fatal request.

    :param seed: seed of the random numbers.
    """

    entry_type = FatalEntry

    def __init__(self, seed: int):
        super().__init__(seed)
        self.searchers = FatalSearchers(self)
        self.datagram_loss = self.rng.choice((0.0, 0.05, 0.3))
        self.attempts: list[tuple[float, str, bool]] = []
        self.good_results: list[bool] = []

    def send_gossip(self, sender: str, receiver: str) -> None:
        """Send the suspicions of one entry to another, as a heartbeat does."""
        if self.rng.random() < self.datagram_loss:
            return
        suspicions = self.entries[sender].quarantine_gossip.outgoing()
        delay_ms = self.rng.choice((0.5, 2.0, 2.0, 30.0))

        def arrive() -> None:
            other = self.entries[receiver]
            other.timers.after(0.0, lambda: other.quarantine_gossip.receive(suspicions))

        self.timers.after(delay_ms, arrive)

    def publish(self, name: str) -> None:
        """Announce the restart of a searcher to all entries."""
        old = next(one for one in self.published if one.incarnation == name)
        new = replace(old, started_unix_ms=int(self.timers.now_ms()))
        self.published[self.published.index(old)] = new
        for entry in self.entries.values():
            entry.context.fleet.put(new)

    def run_fatal(self, seconds: int) -> None:
        """Send fatal and harmless requests several times a second."""
        for entry in self.entries.values():
            for domain in set(ENTRIES.values()):
                entry.delegate_client.choose(domain, 2)
        self.timers.advance(2 * SETTLE_MS)
        for second in range(seconds):
            for place in range(4):
                self._send_request(f"fatal-{second}-{place}", fatal=self.rng.random() < 0.5)
                self.timers.advance(self.rng.uniform(50.0, 450.0))
            self._pause_an_entry()
        self.timers.advance(3 * WAIT_MS)

    def _send_request(self, request_id: str, fatal: bool, retries: int = 1) -> None:
        entry = self.entries[self.rng.choice(list(ENTRIES))]
        now_ms = self.timers.now_ms()
        settled = now_ms - entry.last_disruption_ms > SETTLE_MS
        if fatal:
            self.attempts.append((now_ms, request_id, settled))

        def ended(result: Gathered | TooFewShards | None) -> None:
            if not fatal:
                self.good_results.append(isinstance(result, Gathered))
            elif result is not None and retries:
                self._send_request(f"{request_id}-again", fatal, retries - 1)

        entry.handle_request(request_id, fatal, ended)

    def _pause_an_entry(self) -> None:
        drawn, name = self.rng.random(), self.rng.choice(list(ENTRIES))
        entry = self.entries[name]
        now_ms = self.timers.now_ms()
        if drawn < self.faults.pause:
            until_ms = now_ms + self.rng.uniform(20.0, 7_000.0)
            # Shortening a pause in progress would let later events overtake earlier ones.
            until_ms = max(until_ms, entry.timers.paused_until_ms)
            entry.timers.paused_until_ms = entry.last_disruption_ms = until_ms

    def late_attempts(self) -> set[str]:
        """Return the attempts at settled entries that reached searchers after the time limit."""
        ends_ms = sorted(self.searchers.ends_ms)
        if len(ends_ms) < MIN_ENDED_SEARCHERS:
            return set()
        since_ms = ends_ms[MIN_ENDED_SEARCHERS - 1] + SETTLE_MS
        return {
            request_id
            for at_ms, request_id, settled in self.attempts
            if settled and at_ms > since_ms and self.searchers.arrived.get(request_id)
        }
