"""Entries whose callers send a request that ends the searchers that run it, over simulated links.

On top of :mod:`simulated_attempts`: searchers that end and start again, entries that tell each
other what they find out, by datagrams that are lost and delayed, and that start again knowing
nothing. What counts is which attempts of the caller reached searchers, and when.
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
    NamedMembers,
    Searchers,
    SimulatedAttempt,
    SimulatedEntry,
    World,
)
from rhubarbhinge.gather import Gathered, Gathering, GatherTerms, NotEnough
from rhubarbhinge.members import Member
from rhubarbhinge.peers import QuarantineNews
from rhubarbhinge.quarantine import ONE_FIRST, Quarantine, Quarantined

FATAL = "f" * 32
FATAL_HEAD = b"GET /fatal HTTP/1.1\r\n"
BACK_AFTER_MS = 3_000.0
HEARTBEAT_MS = 1_000.0
IN_TOUCH_MS = 4_000.0
"""An entry counts as in touch so long after its start or a pause."""
ENDS = 3
"""The rule counts from when so many searchers have ended."""


class Table:
    """The failure domains that there are."""

    def domains(self) -> set[str]:
        return set(ENTRIES.values())


class ToldMembers(NamedMembers):
    """The entries that there are, and datagrams to them.

    :param world: what all entries are in.
    :param name: this one's.
    """

    def __init__(self, world: "FatalWorld", name: str):
        super().__init__(name)
        self._world = world
        self.table = Table()

    def all_live(self) -> list[Member]:
        return self._others

    def send_to(self, ip: str) -> None:
        self._world.carry(self.me.name, ip)


class FatalSearchers(Searchers):
    """Searchers that end and start again.

    :param world: what all entries are in.
    """

    def __init__(self, world: "FatalWorld"):
        super().__init__(world.rng, world.troubles)
        self.world = world
        self.down: set[str] = set()
        self.ends_ms: list[float] = []
        self.arrived: dict[str, list[tuple[float, str]]] = defaultdict(list)

    def run(self, exchange: Exchange) -> None:
        super().run(exchange)
        if exchange.request.head == FATAL_HEAD:
            at_ms = self.world.timers.now_ms()
            name = exchange.searcher.searcher.incarnation
            self.arrived[exchange.request.id].append((at_ms, name))

    def end(self, searcher: Searcher) -> None:
        name = searcher.incarnation
        if name in self.down:
            return
        self.down.add(name)
        self.ends_ms.append(self.world.timers.now_ms())
        self.world.timers.after(BACK_AFTER_MS, lambda: self._start_again(name))

    def _start_again(self, name: str) -> None:
        self.down.discard(name)
        self.world.publish(name)


class FatalAttempt(SimulatedAttempt):
    """One request to one searcher, which may end it."""

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
        searchers.world.timers.after(ends_ms, lambda: searchers.end(searcher))
        self._timers.after(ends_ms + 2.0, lambda: self._end(Lost(FailureReason.BROKEN, True)))


class FatalEntry(SimulatedEntry):
    """One entry with what it knows of fatal requests."""

    def __init__(self, world: "FatalWorld", name: str):
        super().__init__(world, name)
        self.name = name
        self.touched_ms = world.timers.now_ms()
        rng = random.Random(world.rng.getrandbits(32))
        self.quarantine = Quarantine(
            self.timers.now_ms,
            lambda fingerprint: self.news.may_try(fingerprint),
            lambda: self.news.tell(),
            rng,
        )
        self.news = QuarantineNews(self.timers, ToldMembers(world, name), self.quarantine, rng)
        self.timers.after(world.rng.uniform(0.0, HEARTBEAT_MS), self._beat)

    def _send(self, exchange, tell) -> FatalAttempt:
        return FatalAttempt(self.world.searchers, self.timers, exchange, tell)

    def _beat(self) -> None:
        self.timers.after(HEARTBEAT_MS, self._beat)
        others = [name for name in ENTRIES if name != self.name]
        for name in self.world.rng.sample(others, 2):
            self.world.carry(self.name, name)

    def take(self, request_id: str, fatal: bool, on_end) -> None:
        """Take a caller's request, as the gateway does."""
        fingerprint = FATAL if fatal else request_id
        decision = self.quarantine.decide(fingerprint, "route")
        if isinstance(decision, Quarantined):
            on_end(None)
            return
        over = []

        def ended(result: Gathered | NotEnough) -> None:
            over.append(True)
            watch.close()
            on_end(result)

        def stopped() -> None:
            gathering.cancel()
            ended(NotEnough((), True))

        watch = self.quarantine.watch(fingerprint, "route", decision == ONE_FIRST, stopped)
        gathering = self._gathering(request_id, fatal, watch, ended)
        gathering.start()
        self.timers.after(WAIT_MS, lambda: over or gathering.time_out())

    def _gathering(self, request_id: str, fatal: bool, watch, on_end) -> Gathering:
        now_ms, world = self.timers.now_ms(), self.world
        due_ms = now_ms + 0.9 * TARGET_MS
        call = call_terms(
            "route",
            TARGET_MS,
            True,
            world.max_attempts,
            1,
            now_ms,
            now_ms + WAIT_MS,
            self.delays,
            due_ms,
            world.shards.top_k,
        )
        terms = GatherTerms("route", world.shards, TARGET_MS, due_ms, replace(call, control=watch))
        head = FATAL_HEAD if fatal else b"GET /x HTTP/1.1\r\n"
        return Gathering(
            self.context,
            CallerRequest(request_id, head, b"", WAIT_MS),
            terms,
            self.delays,
            self.far,
            on_end,
            RequestTrace(request_id, self.timers.now_ms),
        )


class FatalWorld(World):
    """Entries, their searchers, and one caller who sends the same fatal request again and again.

    :param seed: draws everything.
    """

    entry_type = FatalEntry

    def __init__(self, seed: int):
        super().__init__(seed)
        self.searchers = FatalSearchers(self)
        self.datagram_loss = self.rng.choice((0.0, 0.05, 0.3))
        self.attempts: list[tuple[float, str, bool]] = []
        self.good: list[bool] = []

    def carry(self, sender: str, receiver: str) -> None:
        """Carry what one entry knows to another one, as a heartbeat does."""
        if self.rng.random() < self.datagram_loss:
            return
        told = self.entries[sender].news.carried()
        delay_ms = self.rng.choice((0.5, 2.0, 2.0, 30.0))

        def arrive() -> None:
            other = self.entries[receiver]
            other.timers.after(0.0, lambda: other.news.take(told))

        self.timers.after(delay_ms, arrive)

    def publish(self, name: str) -> None:
        """Tell all entries of a new start of a searcher."""
        old = next(one for one in self.published if one.incarnation == name)
        new = replace(old, started_unix_ms=int(self.timers.now_ms()))
        self.published[self.published.index(old)] = new
        for entry in self.entries.values():
            entry.context.fleet.put(new)

    def play_fatal(self, seconds: int) -> None:
        """Have the fatal request come some times a second, and good ones beside it."""
        for entry in self.entries.values():
            for domain in set(ENTRIES.values()):
                entry.delegates.choose(domain, 2)
        self.timers.advance(2 * IN_TOUCH_MS)
        for second in range(seconds):
            for place in range(4):
                self._one(f"fatal-{second}-{place}", fatal=self.rng.random() < 0.5)
                self.timers.advance(self.rng.uniform(50.0, 450.0))
            self._trouble()
        self.timers.advance(3 * WAIT_MS)

    def _one(self, request_id: str, fatal: bool, retries: int = 1) -> None:
        entry = self.entries[self.rng.choice(list(ENTRIES))]
        now_ms = self.timers.now_ms()
        in_touch = now_ms - entry.touched_ms > IN_TOUCH_MS
        if fatal:
            self.attempts.append((now_ms, request_id, in_touch))

        def ended(result: Gathered | NotEnough | None) -> None:
            if not fatal:
                self.good.append(isinstance(result, Gathered))
            elif result is not None and retries:
                self._one(f"{request_id}-again", fatal, retries - 1)

        entry.take(request_id, fatal, ended)

    def _trouble(self) -> None:
        drawn, name = self.rng.random(), self.rng.choice(list(ENTRIES))
        entry = self.entries[name]
        now_ms = self.timers.now_ms()
        if drawn < self.troubles.pause:
            until_ms = now_ms + self.rng.uniform(20.0, 7_000.0)
            # A shorter pause than the one it is in would let what comes later overtake.
            until_ms = max(until_ms, entry.timers.paused_until_ms)
            entry.timers.paused_until_ms = entry.touched_ms = until_ms

    def late_attempts(self) -> set[str]:
        """Give the attempts that reached searchers later than the rule's bound, from entries in
        touch."""
        ends_ms = sorted(self.searchers.ends_ms)
        if len(ends_ms) < ENDS:
            return set()
        since_ms = ends_ms[ENDS - 1] + IN_TOUCH_MS
        return {
            request_id
            for at_ms, request_id, in_touch in self.attempts
            if in_touch and at_ms > since_ms and self.searchers.arrived.get(request_id)
        }
