"""Simulation of searchers, relays and an unreliable network around the query core."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace

import orjson

from rhubarbhinge import api
from rhubarbhinge.history import Event
from rhubarbhinge.query import (
    Answer,
    Catalog,
    QueryCore,
    QueryPolicy,
    RelayTarget,
    SendBatch,
    SendCancel,
)
from rhubarbhinge.query.tests import builders
from rhubarbhinge.wire import SubCode, UpstreamReport, UpstreamState

SHARD = builders.KEYS // 8
RELAYS = ("r0", "r1", "r2")
POLICY = QueryPolicy(initial_hedge_delay_ms=20.0)
POLICIES = (POLICY, replace(POLICY, hedging=False), replace(POLICY, own_observation=False))
CLASSES = (
    builders.traffic_class("unit-trip", 0.9, 0.2),
    builders.traffic_class("planning", 1.0, 0.5, "coverage"),
    builders.traffic_class("browse", 0.0, 0.05),
)
REFUSALS = (SubCode.SHED, SubCode.QUEUE_FULL, SubCode.BROKEN, SubCode.DEADLINE)
REFUSALS += (SubCode.WRONG_RECEIVER, SubCode.CANCELLED, SubCode.LOST)
NOT_EXTRA_LOAD = {
    SubCode.DRAINING,
    SubCode.VERSION_GONE,
    SubCode.RANGE_MOVED,
    SubCode.WRONG_RECEIVER,
}
NOT_EXTRA_LOAD |= {SubCode.LOST}


class Searcher:
    """A simulated searcher that holds (version, lo, hi) ranges."""

    def __init__(self, number: int, spans: set[tuple[int, int, int]]) -> None:
        self.number = number
        self.spans = spans
        self.incarnation = 1
        self.draining = False

    def outcome(self, version: int, lo: int, hi: int) -> SubCode:
        if self.draining:
            return SubCode.DRAINING
        spans = [span for span in self.spans if span[0] == version]
        if not spans:
            return SubCode.VERSION_GONE
        within = any(span[1] <= lo and hi <= span[2] for span in spans)
        return SubCode.ANSWERED if within else SubCode.RANGE_MOVED


START_MS = 1_000.0


class Schedule:
    """Runs a query core against simulated searchers on a virtual clock."""

    def __init__(self, seed: int, fault_rate: float, policy: QueryPolicy = POLICY) -> None:
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        self.now_ms = START_MS
        self.catalog = Catalog()
        self.core = QueryCore(
            policy, self.catalog, self.relay_of, random.Random(seed), lambda number: number % 2 == 0
        )
        self.lost_relays: set[str] = set()
        self.searchers = [Searcher(number, set()) for number in range(12)]
        self.version = 1
        self.events: list[Event] = []
        self.requests: dict[int, builders.SearchRequest] = {}
        self.open: set[int] = set()
        self.sent: dict[tuple[int, int, int], tuple[str, str]] = {}
        self.ended: set[tuple[int, int, int]] = set()
        self.refused: Counter = Counter()
        self.credited: Counter = Counter()
        self._network: list = []
        self._numbers = itertools.count()
        for shard in range(8):
            for searcher in self.rng.sample(self.searchers, 2):
                searcher.spans.add((1, shard * SHARD, (shard + 1) * SHARD))
        for searcher in self.searchers:
            self.catalog.on_holdings(builders.holding(searcher.number, searcher.spans))

    def relay_of(self, number: int) -> RelayTarget | None:
        owners = [RELAYS[number % 3], RELAYS[(number + 1) % 3]]
        left = [name for name in owners if name not in self.lost_relays]
        return RelayTarget(left[0], 1) if left else None

    # Steps.

    def start(self, first: int, second: int) -> None:
        number = len(self.requests) + 1
        traffic = CLASSES[first % 3]
        search = builders.request(number, traffic, 60.0 + second * 10, f"text {number}")
        self.requests[number] = search
        self.open.add(number)
        self._record_event("asked", request=number, node="e")
        plan = self.catalog.plan(search.collection)
        self.credited[traffic.name] += len(plan.ranges) * traffic.extra_load
        self._apply_effects(self.core.start(search, self.now_ms))

    def abandon(self, first: int, second: int) -> None:
        if self.open:
            number = sorted(self.open)[first % len(self.open)]
            self.open.discard(number)
            self.events = [event for event in self.events if event.get("request") != number]
            self._apply_effects(self.core.abandon(number, self.now_ms))

    def publish(self, first: int, second: int) -> None:
        self.version += 1
        for searcher in self.searchers:
            if self.rng.random() < 0.3 + second / 16:
                newest = max((span[0] for span in searcher.spans), default=0)
                spans = {(self.version, *s[1:]) for s in searcher.spans if s[0] == newest}
                self._set_holdings(searcher, searcher.spans | spans)

    def drop(self, first: int, second: int) -> None:
        for searcher in self.searchers:
            oldest = min((span[0] for span in searcher.spans), default=0)
            if self.rng.random() < second / 12:
                self._set_holdings(searcher, {span for span in searcher.spans if span[0] != oldest})

    def split(self, first: int, second: int) -> None:
        searcher = self._searcher(first)
        halves = set()
        for version, lo, hi in searcher.spans:
            middle = (lo + hi) // 2
            halves |= {(version, lo, middle), (version, middle, hi)}
        self._set_holdings(searcher, halves)

    def merge(self, first: int, second: int) -> None:
        searcher = self._searcher(first)
        merged = {
            (v, lo - lo % (2 * SHARD), lo - lo % (2 * SHARD) + 2 * SHARD)
            for v, lo, _ in searcher.spans
        }
        self._set_holdings(searcher, merged)

    def move(self, first: int, second: int) -> None:
        source, target = self._searcher(first), self._searcher(second)
        if source.spans and source is not target:
            moved = {self.rng.choice(sorted(source.spans))}
            self._set_holdings(target, target.spans | moved)
            self._set_holdings(source, source.spans - moved)

    def drain(self, first: int, second: int) -> None:
        searcher = self._searcher(first)
        searcher.draining = not searcher.draining
        if not searcher.draining:
            searcher.incarnation += 1
        self._schedule_message(lambda: self._report(searcher))

    def lose_relay(self, first: int, second: int) -> None:
        relay = RELAYS[first % 3]
        if relay in self.lost_relays:
            self.lost_relays.discard(relay)
            return
        self.lost_relays.add(relay)
        lost = {key for key, (name, _) in self.sent.items() if name == relay} - self.ended
        self.refused.update(key[:2] for key in lost)
        self.ended |= lost
        self._apply_effects(self.core.on_relay_lost(relay, self.now_ms))

    def wait(self, first: int, second: int) -> None:
        self.run(first * 2 + second)

    def pause(self, first: int, second: int) -> None:
        """Simulate a paused process, which resumes with a tick or with the pending messages."""
        self.now_ms += first * 20
        if second % 2:
            self._tick()
        self._deliver()
        self._tick()

    # Time.

    def run(self, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while True:
            due_ms = [self._network[0][0]] if self._network else []
            due_ms += [at_ms for at_ms in [self.core.next_due_ms()] if at_ms is not None]
            if not due_ms or min(due_ms) > end_ms:
                break
            self.now_ms = max(self.now_ms, min(due_ms))
            self._deliver()
            self._tick()
        self.now_ms = end_ms

    def _tick(self) -> None:
        self._apply_effects(self.core.tick(self.now_ms))
        for event in self.events:
            if event["event"] == "asked" and event["request"] in self.open:
                due_ms = event["at_ms"] + self.requests[event["request"]].deadline_ms
                assert self.now_ms < due_ms - POLICY.answer_margin_ms, "open after its deadline"

    def _deliver(self) -> None:
        while self._network and self._network[0][0] <= self.now_ms:
            heapq.heappop(self._network)[2]()

    def _schedule_message(self, action, delay_ms: float | None = None) -> None:
        delay_ms = self.rng.choice((0, 1, 3, 10, 40)) if delay_ms is None else delay_ms
        heapq.heappush(self._network, (self.now_ms + delay_ms, next(self._numbers), action))

    # Effects.

    def _apply_effects(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendBatch):
                for row in builders.rows_of(effect.batch):
                    self._send(effect.relay, effect.batch, row)
            elif isinstance(effect, SendCancel):
                batch = effect.batch
                keys = set(zip(batch.call_ids, batch.parts, batch.attempts, strict=True))
                assert all(self.sent[key][0] == effect.relay for key in keys)
                self.ended |= keys
            else:
                self._answered(effect)

    def _answered(self, effect) -> None:
        answer = effect if isinstance(effect, Answer) else effect.answer
        response = api.answer(effect, {}) if effect is answer else api.shortfall(effect)
        self.open.discard(answer.request_id)
        body = orjson.loads(response.body)
        self._record_event(
            "answered", request=answer.request_id, body=body, whole=True, effect=effect
        )

    def _send(self, relay: str, batch, row) -> None:
        part, attempt, number, lo, hi = row
        key = (batch.call_id, part, attempt)
        assert key not in self.sent and self.catalog.is_usable(number)
        assert self.relay_of(number).name == relay
        text = batch.text
        self.sent[key] = (relay, self.requests[batch.call_id].traffic_class.name)
        outcome = self.searchers[number].outcome(batch.version, lo, hi)
        body = b""
        if self.rng.random() < self.fault_rate:
            outcome = self.rng.choice(REFUSALS)
        elif outcome == SubCode.ANSWERED:
            body = builders.answer_body(batch.version, lo, hi, text, batch.limit)
        wrong = builders.answer_body(batch.version, lo, hi, text, hits=[])
        if body and self.rng.random() < self.fault_rate:
            body = self._corrupt_answer(batch.version, lo, hi, text)
        for chance in (1.0, self.fault_rate / 2):
            if self.rng.random() < chance * (1.0 - self.fault_rate / 2):
                self._schedule_message(lambda: self._reply(relay, key, outcome, body))
        if self.rng.random() < self.fault_rate:
            other_relay = self.rng.choice([name for name in RELAYS if name != relay])
            self._schedule_message(lambda: self._reply(other_relay, key, SubCode.ANSWERED, wrong))
            late = (batch.call_id, part, attempt + 7)
            self._schedule_message(lambda: self._reply(relay, late, SubCode.ANSWERED, wrong))

    def _corrupt_answer(self, version: int, lo: int, hi: int, text: str) -> bytes:
        """Return an answer with exactly one error."""
        records = builders.count(version, lo, hi)
        return self.rng.choice(
            (
                builders.answer_body(version + 1, lo, hi, text, records=records),
                builders.answer_body(version, lo, (lo + hi) // 2, text, records=records),
                builders.answer_body(version, lo, hi, text, records=records + 9),
                builders.answer_body(version, lo, hi, text, collection="others"),
                builders.answer_body(version, lo, hi, text, hits=[{"id": "x"}]),
                builders.answer_body(version, lo, hi, text)[:-3],
            )
        )

    def _reply(self, relay: str, key, outcome: SubCode, body: bytes) -> None:
        if key in self.sent and self.sent[key][0] == relay and key not in self.ended:
            self.ended.add(key)
            self.refused[key[:2]] += outcome in NOT_EXTRA_LOAD
            if outcome == SubCode.ANSWERED:
                self._record_served(key[0], body)
        batch = builders.reply((*key, outcome, self.rng.choice((0, 10, 50)), body))
        self._apply_effects(self.core.on_reply(relay, batch, self.now_ms))

    def _record_served(self, call_id: int, body: bytes) -> None:
        try:
            sub = orjson.loads(body)
        except orjson.JSONDecodeError:
            return
        fields = {name: sub[name] for name in ("collection", "version", "lo", "hi")}
        if all("score" in hit for hit in sub["hits"]):
            self._record_event("served", request=call_id, **fields)

    # Announcements.

    def _searcher(self, number: int) -> Searcher:
        return self.searchers[number % len(self.searchers)]

    def _set_holdings(self, searcher: Searcher, spans: set[tuple[int, int, int]]) -> None:
        searcher.spans = set(spans)
        report = builders.holding(searcher.number, spans, searcher.incarnation)
        self._schedule_message(lambda: self.catalog.on_holdings(report))

    def _report(self, searcher: Searcher) -> None:
        state = UpstreamState.DRAINING if searcher.draining else UpstreamState.READY
        row = (searcher.number, state, 1, 1, 2)
        self.core.on_report(UpstreamReport(*((field,) for field in row)))

    def _record_event(self, name: str, **fields) -> None:
        self.events.append({"event": name, "at_ms": self.now_ms, **fields})
