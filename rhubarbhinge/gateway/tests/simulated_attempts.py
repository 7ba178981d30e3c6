"""Entries that search shards for one another, over simulated links and searchers.

The parts that decide on attempts are the real ones. Links lose, delay and cut what they carry,
entries pause, and searchers run, refuse, fail or fall silent, all drawn from one seed. What
counts is what the searchers saw.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from unittest import mock

from rhubarbhinge.delegation import Ask, AskServer, Delegates, FarSends, _delegates, _serving
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
from rhubarbhinge.gateway import _far_search
from rhubarbhinge.gateway._call_terms import ask_terms, call_terms
from rhubarbhinge.gateway.tests.simulated_links import (
    HostTimers,
    Network,
    SimulatedLinks,
    Troubles,
)
from rhubarbhinge.gather import Gathered, Gathering, GatherTerms, NotEnough
from rhubarbhinge.members import Member
from rhubarbhinge.plans import ShardSet
from rhubarbhinge.retries import BudgetRule, RetryBudget
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.utils.fake_timers import FakeTimers

PORT = 7_000
TARGET_MS = 180.0
WAIT_MS = 1_000.0
SHARDS_AN_ENTRY = 2
"""So few in place of 30, so that a search of some shards is split among several entries."""
DOMAINS = ("hall-a", "hall-b", "hall-c")
ENTRIES = {"a-1": "hall-a", "a-2": "hall-a", "b-1": "hall-b", "b-2": "hall-b", "c-1": "hall-c"}


class SimulatedAttempt:
    """One request to one searcher.

    :param searchers: all searchers.
    :param timers: timers of the entry that sends it.
    :param exchange: what is asked of whom.
    :param tell: told the outcome.
    """

    def __init__(self, searchers: "Searchers", timers: HostTimers, exchange: Exchange, tell):
        self._searchers = searchers
        self._timers = timers
        self._exchange = exchange
        self._tell = tell
        self._over = False
        self.sent = False
        rng, troubles = searchers.rng, searchers.troubles
        if rng.random() < troubles.unreachable:
            timers.after(
                rng.choice((0.0, 5.0, 350.0)), lambda: self._end(NotRun(FailureReason.UNREACHABLE))
            )
        elif rng.random() < troubles.queued:
            timers.after(rng.uniform(1.0, 200.0), self._write)
        else:
            self._write()

    def _write(self) -> None:
        if self._over:
            return
        self.sent = True
        rng, troubles = self._searchers.rng, self._searchers.troubles
        # What was written may arrive although it is cancelled meanwhile.
        refused = rng.random() < troubles.refuse
        if not refused:
            self._searchers.run(self._exchange)
        delay_ms = rng.uniform(2.0, 250.0)
        outcome = NotRun(FailureReason.NO_ROOM) if refused else self._run_outcome(rng, troubles)
        if outcome is not None:
            self._timers.after(delay_ms, lambda: self._end(outcome))

    def _run_outcome(self, rng: random.Random, troubles: Troubles) -> Outcome | None:
        drawn = rng.random()
        if drawn < troubles.hang:
            return None
        drawn = rng.random()
        if drawn < troubles.lose:
            return Lost(FailureReason.BROKEN)
        status = 500 if rng.random() < troubles.fail else 200
        signature = f"sig-{self._exchange.searcher.searcher.incarnation}"
        request_id = self._exchange.request.id
        reply = SearcherReply(status, (), b"r" * 16, request_id, signature, False, False, None)
        return Replied(reply, 10.0)

    def _end(self, outcome: Outcome) -> None:
        if not self._over:
            self._over = True
            self._tell(outcome)

    def cancel(self) -> None:
        self._over = True


class Searchers:
    """All searchers, which note whose requests they ran.

    :param rng: draws what they do.
    :param troubles: how often what goes wrong.
    """

    def __init__(self, rng: random.Random, troubles: Troubles):
        self.rng = rng
        self.troubles = troubles
        self.ran: dict[tuple[str, str], set[str]] = defaultdict(set)

    def run(self, exchange: Exchange) -> None:
        searcher = exchange.searcher.searcher
        self.ran[exchange.request.id, searcher.service].add(searcher.incarnation)


class NamedMembers:
    """The entries that there are, which never change.

    :param name: this one's.
    """

    def __init__(self, name: str):
        self.me = _member(name)
        self._others = [_member(other) for other in ENTRIES if other != name]

    def live(self, failure_domain: str) -> list[Member]:
        return [member for member in self._others if member.failure_domain == failure_domain]

    def on_work(self, failure_domain: str) -> None:
        pass


class SimulatedEntry:
    """One entry, without its callers, its own state and real sockets.

    :param world: what all entries are in.
    :param name: its name.
    """

    def __init__(self, world: "World", name: str):
        self.timers = HostTimers(world.timers)
        self.world = world
        self.delays = Delays(20.0)
        domain = ENTRIES[name]
        rng = random.Random(world.rng.getrandbits(32))
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        for searcher in world.published:
            fleet.put(searcher)
        budget = RetryBudget(BudgetRule(0.2, 100.0, 10_000.0), self.timers.now_ms, lambda: 1)
        self.context = CallContext(
            self.timers,
            fleet,
            expected_cost(domain, rng),
            budget,
            lambda exchange, tell: self._far_sends.send(exchange, tell),
            Metrics(),
        )

        def links(*arguments: object, **more: object) -> SimulatedLinks:
            return SimulatedLinks(world.network, name, self.timers, *arguments, **more)

        reachability = DomainReachability(self.timers.now_ms, lambda failure_domain: None)
        with (
            mock.patch.object(_delegates, "Links", links),
            mock.patch.object(_serving, "Links", links),
        ):
            self.delegates = Delegates(self.timers, NamedMembers(name), PORT, rng, reachability)
            self.asks = AskServer(
                self.timers,
                self.context,
                self._ask_terms,
                lambda route, target_ms: self.delays,
                (name, PORT),
            )
        self._far_sends = FarSends(self.timers, self.delegates, domain, self._send)
        self.far = _far_search.far_search(domain, self.context, self.delegates, rng)

    def _send(self, exchange: Exchange, tell: Callable[[Outcome], None]) -> SimulatedAttempt:
        return SimulatedAttempt(self.world.searchers, self.timers, exchange, tell)

    def _ask_terms(self, ask: Ask, delays: Delays) -> CallTerms:
        return ask_terms(ask, delays, self.timers.now_ms())

    def search(
        self, request_id: str, shards: ShardSet, max_attempts: int, on_end: Callable
    ) -> Gathering:
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
        gathering = Gathering(
            self.context,
            request,
            terms,
            self.delays,
            self.far,
            on_end,
            RequestTrace(request_id, self.timers.now_ms),
        )
        gathering.start()
        return gathering


class World:
    """Entries and searchers under one drawn set of troubles.

    :param seed: draws everything.
    """

    entry_type = SimulatedEntry

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.timers = FakeTimers()
        self.troubles = Troubles(self.rng)
        self.network = Network(self.timers, self.rng, self.troubles)
        self.searchers = Searchers(self.rng, self.troubles)
        self.shards = ShardSet(tuple(f"s{n}" for n in range(6)), 2, 0.8)
        self.max_attempts = self.rng.choice((1, 2, 2, 3))
        self.published = [
            Searcher(f"{shard}-{place}", shard, "10.0.0.1", 80, self.rng.choice(DOMAINS), 2)
            for shard in self.shards.services
            for place in range(self.rng.choice((2, 3, 4)))
        ]
        self.entries = {name: self.entry_type(self, name) for name in ENTRIES}
        self.ends: list[Gathered | NotEnough] = []

    def play(self, searches: int = 6) -> None:
        """Have searches come at several entries, some given up by their callers."""
        for entry in self.entries.values():
            for domain in DOMAINS:
                entry.delegates.choose(domain, 2)
        self.timers.advance(10.0)
        for number in range(searches):
            self._pause_some()
            entry = self.entries[self.rng.choice(list(ENTRIES))]
            gathering = entry.search(f"r{number}", self.shards, self.max_attempts, self.ends.append)
            entry.timers.after(WAIT_MS, gathering.time_out)
            if self.rng.random() < 0.2:
                self.timers.after(self.rng.uniform(1.0, 200.0), gathering.cancel)
            self.timers.advance(self.rng.choice((5.0, 60.0, 300.0)))
        self.timers.advance(3 * WAIT_MS)

    def _pause_some(self) -> None:
        for entry in self.entries.values():
            if self.rng.random() < self.troubles.pause:
                entry.timers.paused_until_ms = self.timers.now_ms() + self.rng.uniform(20.0, 400.0)

    def most_searchers(self) -> int:
        """Tell at how many searchers of one shard one request ran at most."""
        return max((len(names) for names in self.searchers.ran.values()), default=0)


def _member(name: str) -> Member:
    return Member(name, name, ENTRIES[name], 1)
