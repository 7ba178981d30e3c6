"""Carries queries out: fans out, hedges, retries, merges, and answers in time."""

import heapq
import random
from collections.abc import Callable, Iterable

from rhubarbhinge.query._budget import ExtraLoadBudget
from rhubarbhinge.query._call import NEVER_MS, Attempt, Call, Part
from rhubarbhinge.query._catalog import Catalog
from rhubarbhinge.query._effects import Answer, Effect, QueryStats, Shortfall
from rhubarbhinge.query._latency import LatencyWindow
from rhubarbhinge.query._missing import Missing
from rhubarbhinge.query._outbox import Outbox
from rhubarbhinge.query._policy import QueryPolicy
from rhubarbhinge.query._relaytarget import RelayTarget
from rhubarbhinge.query._scores import ReplicaScores
from rhubarbhinge.query._searchrequest import SearchRequest
from rhubarbhinge.query._subanswer import checked_hits
from rhubarbhinge.wire import ReplyBatch, SubCode, UpstreamReport, UpstreamState

#: Reasons in answers, by how the last attempt ended.
_WHY = {
    SubCode.SHED: "shed",
    SubCode.DRAINING: "draining",
    SubCode.VERSION_GONE: "version-gone",
    SubCode.RANGE_MOVED: "range-moved",
    SubCode.DEADLINE: "deadline",
    SubCode.BROKEN: "broken",
    SubCode.QUEUE_FULL: "queue-full",
    SubCode.WRONG_RECEIVER: "no-replica",
    SubCode.CANCELLED: "deadline",
    SubCode.LOST: "lost",
}
#: Endings after which sending elsewhere is no extra load: nothing was run, or what ran is gone with
#: its searcher, whose work the other replicas take over anyway.
_NOT_LOAD = frozenset(
    {
        SubCode.DRAINING,
        SubCode.VERSION_GONE,
        SubCode.RANGE_MOVED,
        SubCode.WRONG_RECEIVER,
        SubCode.LOST,
    }
)
#: Endings that speak against the searcher.
_FAILURES = frozenset(
    {SubCode.SHED, SubCode.BROKEN, SubCode.QUEUE_FULL, SubCode.DEADLINE, SubCode.LOST}
)
#: Endings after which the same replicas may answer a little later.
_WORTH_WAITING = _FAILURES | {SubCode.WRONG_RECEIVER}

_STATES = {int(state): state for state in UpstreamState}

_RelayOf = Callable[[int], RelayTarget | None]


class QueryCore:
    """All queries of one entry.

    :param policy: constants and switches.
    :param catalog: what the searchers announce; the daemon feeds it.
    :param relay_of: gives the relay that owns a searcher, None when there is none to send to.
    :param rng: source of random choices.
    """

    def __init__(
        self, policy: QueryPolicy, catalog: Catalog, relay_of: _RelayOf, rng: random.Random
    ) -> None:
        self._policy = policy
        self._catalog = catalog
        self._relay_of = relay_of
        self._rng = rng
        self._scores = ReplicaScores()
        self._outbox = Outbox()
        self._calls: dict[int, Call] = {}
        self._call_by_request: dict[int, int] = {}
        self._sequence = 0
        self._due: list[tuple[float, int]] = []
        self._latencies: dict[str, LatencyWindow] = {}
        self._budgets: dict[str, ExtraLoadBudget] = {}

    def in_flight(self) -> int:
        """Give the number of open queries.

        :returns: the number.
        """
        return len(self._calls)

    def next_due_ms(self) -> float | None:
        """Give the time of the next tick that has something to do.

        :returns: milliseconds on the caller's clock, None when there is nothing.
        """
        return self._due[0][0] if self._due else None

    def start(self, request: SearchRequest, now_ms: float) -> list[Effect]:
        """Begin a query.

        :param request: the search, admitted.
        :param now_ms: the time.
        :returns: sub-queries to send, or the answer when nothing can be asked.
        """
        self._sequence += 1
        call = Call(self._sequence, request, now_ms)
        self._calls[call.call_id] = call
        self._call_by_request[request.request_id] = call.call_id
        effects = self._begin(call, now_ms)
        if call.call_id in self._calls:
            self._schedule(call, now_ms)
        return effects + self._flush(now_ms)

    def on_reply(self, relay: str, batch: ReplyBatch, now_ms: float) -> list[Effect]:
        """Take answers of a relay.

        :param relay: the relay's node name, as its link says.
        :param batch: the answers.
        :param now_ms: the time.
        :returns: what follows.
        """
        effects: list[Effect] = []
        rows = zip(
            batch.call_ids,
            batch.parts,
            batch.attempts,
            batch.outcomes,
            batch.retry_after_ms,
            batch.bodies,
            strict=True,
        )
        for call_id, number, attempt_number, outcome, wait_ms, body in rows:
            call = self._calls.get(call_id)
            part = call.parts.get(number) if call else None
            attempt = part.attempts.get(attempt_number) if part else None
            if attempt is None or attempt.target.name != relay:
                continue
            del part.attempts[attempt_number]
            self._scores.on_ended(attempt.upstream_id)
            if not part.done:
                part.wait_ms = wait_ms
                effects += self._on_ended(call, part, attempt, outcome, body, now_ms)
        return effects + self._flush(now_ms)

    def on_report(self, report: UpstreamReport) -> None:
        """Take a relay's report of its searchers.

        :param report: states and loads.
        """
        rows = zip(
            report.upstream_ids,
            report.states,
            report.queued,
            report.in_flight,
            report.slots,
            strict=True,
        )
        for upstream_id, state, queued, in_flight, slots in rows:
            self._catalog.on_state(upstream_id, _STATES.get(state, UpstreamState.UNKNOWN))
            self._scores.on_report(upstream_id, queued, in_flight, slots)

    def on_relay_gone(self, relay: str, now_ms: float) -> list[Effect]:
        """A relay's link is lost: what it was sent is asked again elsewhere.

        :param relay: the relay's node name.
        :param now_ms: the time.
        :returns: what follows.
        """
        effects: list[Effect] = []
        for call in list(self._calls.values()):
            for part in list(call.parts.values()):
                effects += self._lose_relay(call, part, relay, now_ms)
        return effects + self._flush(now_ms)

    def abandon(self, request_id: int, now_ms: float) -> list[Effect]:
        """The caller is gone: stop its query.

        :param request_id: the caller's request.
        :param now_ms: the time.
        :returns: cancels.
        """
        call_id = self._call_by_request.get(request_id)
        if call_id is not None:
            self._end(self._calls[call_id], now_ms)
        return self._flush(now_ms)

    def tick(self, now_ms: float) -> list[Effect]:
        """Do what is due: hedges and deadlines.

        :param now_ms: the time.
        :returns: what follows.
        """
        effects: list[Effect] = []
        while self._due and self._due[0][0] <= now_ms:
            at_ms, call_id = heapq.heappop(self._due)
            call = self._calls.get(call_id)
            if call is None or call.wake_ms != at_ms:
                continue
            call.wake_ms = NEVER_MS
            if now_ms >= call.deadline_ms - self._policy.answer_margin_ms:
                effects.append(self._finish(call, now_ms))
                continue
            answered = self._settle(call, now_ms)
            if answered:
                effects += answered
                continue
            self._retry_waiting(call, now_ms)
            self._hedge(call, now_ms)
            self._schedule(call, now_ms)
        return effects + self._flush(now_ms)

    # Beginning.

    def _begin(self, call: Call, now_ms: float) -> list[Effect]:
        plan = self._catalog.plan(call.request.collection, call.gone_versions)
        call.begin(plan)
        for tile in plan.tiles:
            call.add_part(tile)
        return self._settle(call, now_ms) or self._send_all(call, now_ms)

    def _send_all(self, call: Call, now_ms: float) -> list[Effect]:
        sent = 0
        for part in call.parts.values():
            if self._send(call, part, now_ms, extra=False):
                sent += 1
            else:
                call.lose(part)
        self._count_sent(call, sent)
        return self._settle(call, now_ms)

    def _count_sent(self, call: Call, sent: int) -> None:
        if call.base:
            call.retries += sent
            return
        call.base = sent
        self._budget(call).earn(sent, call.request.traffic_class.extra_load)

    def _send(self, call: Call, part: Part, now_ms: float, extra: bool) -> bool:
        chosen = self._choose(part, now_ms)
        if chosen is None:
            return False
        upstream_id, target = chosen
        attempt = part.sent
        part.sent += 1
        part.tried.add(upstream_id)
        part.attempts[attempt] = Attempt(upstream_id, target, now_ms, extra)
        self._scores.on_sent(upstream_id)
        self._outbox.send(target, call, part, attempt, upstream_id)
        return True

    def _choose(self, part: Part, now_ms: float) -> tuple[int, RelayTarget] | None:
        if part.sent >= self._policy.most_attempts:
            return None
        found: list[tuple[float, int, RelayTarget]] = []
        for upstream_id in part.tile.upstream_ids:
            if upstream_id in part.tried or not self._catalog.usable(upstream_id):
                continue
            target = self._relay_of(upstream_id)
            if target is not None:
                found.append((self._score(upstream_id, now_ms), upstream_id, target))
        if not found:
            return None
        _, upstream_id, target = min(found, key=lambda row: row[0])
        return upstream_id, target

    def _score(self, upstream_id: int, now_ms: float) -> float:
        if not self._policy.own_observation:
            return self._rng.random()
        score = self._scores.score(upstream_id, self._catalog.state(upstream_id), now_ms)
        return score * (1.0 + 0.1 * self._rng.random())

    # Answers of searchers.

    def _on_ended(
        self,
        call: Call,
        part: Part,
        attempt: Attempt,
        outcome: int,
        body: bytes,
        now_ms: float,
    ) -> list[Effect]:
        if outcome == SubCode.ANSWERED:
            hits = checked_hits(body, call, part)
            if hits is not None:
                return self._take(call, part, attempt, hits, now_ms)
            outcome = SubCode.BROKEN
        if outcome in _FAILURES:
            self._scores.on_failure(attempt.upstream_id, now_ms)
        if outcome == SubCode.WRONG_RECEIVER:
            self._forget_owner(part, attempt)
        part.why = _WHY.get(outcome, "broken")
        unspent = attempt.extra and outcome in _NOT_LOAD
        if not part.attempts:
            return self._again(call, part, outcome, unspent, now_ms)
        if unspent:
            self._budget(call).give_back()
        return []

    def _forget_owner(self, part: Part, attempt: Attempt) -> None:
        target = self._relay_of(attempt.upstream_id)
        if target is not None and target != attempt.target:
            part.tried.discard(attempt.upstream_id)

    def _take(
        self, call: Call, part: Part, attempt: Attempt, hits: list[dict], now_ms: float
    ) -> list[Effect]:
        latency_ms = now_ms - attempt.sent_ms
        self._scores.on_latency(attempt.upstream_id, latency_ms, now_ms)
        self._window(call).observe(latency_ms)
        call.hits += hits
        call.covered_records += part.tile.records
        call.close_part(part)
        self._cancel_rest(call, part, now_ms)
        return self._settle(call, now_ms)

    def _again(
        self, call: Call, part: Part, outcome: int, unspent: bool, now_ms: float
    ) -> list[Effect]:
        free = outcome in _NOT_LOAD
        resend = self._redirect if free else self._retry
        if resend(call, part, unspent, now_ms):
            return []
        if outcome == SubCode.RANGE_MOVED and self._split(call, part, now_ms):
            return self._settle(call, now_ms)
        if unspent:
            self._budget(call).give_back()
        if outcome == SubCode.VERSION_GONE and self._better_version(call, part, now_ms):
            return self._replan(call, now_ms)
        if outcome in _WORTH_WAITING and self._wait_for(call, part, now_ms):
            return []
        call.lose(part)
        return self._settle(call, now_ms)

    def _redirect(self, call: Call, part: Part, unspent: bool, now_ms: float) -> bool:
        sent = self._send(call, part, now_ms, extra=unspent)
        call.redirects += sent
        return sent

    def _retry(self, call: Call, part: Part, _unspent: bool, now_ms: float) -> bool:
        sent = self._send_extra(call, part, now_ms)
        call.retries += sent
        return sent

    def _send_extra(self, call: Call, part: Part, now_ms: float) -> bool:
        budgeted = self._policy.budgeted
        if budgeted and not self._budget(call).spend():
            return False
        sent = self._send(call, part, now_ms, extra=budgeted)
        if budgeted and not sent:
            self._budget(call).give_back()
        return sent

    def _wait_for(self, call: Call, part: Part, now_ms: float) -> bool:
        at_ms = now_ms + max(self._policy.least_wait_ms, part.wait_ms)
        in_time = at_ms < call.deadline_ms - 2 * self._policy.answer_margin_ms
        if not in_time or part.sent >= self._policy.most_attempts:
            return False
        part.retry_at_ms = at_ms
        self._wake(call, at_ms)
        return True

    def _retry_waiting(self, call: Call, now_ms: float) -> None:
        for part in call.parts.values():
            if not part.waits() or part.retry_at_ms > now_ms:
                continue
            part.tried.clear()
            if self._send_extra(call, part, now_ms):
                part.retry_at_ms = 0.0
                call.retries += 1
            else:
                part.retry_at_ms = now_ms + self._policy.least_wait_ms

    def _split(self, call: Call, part: Part, now_ms: float) -> bool:
        tile = part.tile
        tiles = self._catalog.tiles(call.request.collection, call.plan.version, tile.lo, tile.hi)
        if sum(inner.records for inner in tiles) != tile.records or tiles == (tile,):
            return False
        call.close_part(part)
        call.redirects += len(tiles)
        for inner in tiles:
            inner_part = call.add_part(inner)
            if not self._send(call, inner_part, now_ms, extra=False):
                call.lose(inner_part)
        return True

    def _better_version(self, call: Call, part: Part, now_ms: float) -> bool:
        spent_ms = now_ms - call.started_ms
        left_ms = call.deadline_ms - self._policy.answer_margin_ms - now_ms
        rest = call.coverage_without(part)
        if spent_ms > left_ms and rest >= call.request.traffic_class.least_coverage:
            return False
        gone = call.gone_versions | {call.plan.version}
        plan = self._catalog.plan(call.request.collection, gone)
        return bool(plan.tiles) and plan.reachable_share() > rest

    def _replan(self, call: Call, now_ms: float) -> list[Effect]:
        call.gone_versions |= {call.plan.version}
        self._cancel_all(call, now_ms)
        return self._begin(call, now_ms)

    def _lose_relay(self, call: Call, part: Part, relay: str, now_ms: float) -> list[Effect]:
        lost = [number for number, attempt in part.attempts.items() if attempt.target.name == relay]
        for number in lost:
            self._scores.on_ended(part.attempts.pop(number).upstream_id)
        if not lost or part.done or part.attempts or call.call_id not in self._calls:
            return []
        part.why = "lost"
        return self._again(call, part, SubCode.LOST, False, now_ms)

    # Hedges.

    def _hedge(self, call: Call, now_ms: float) -> None:
        if not self._policy.hedging:
            return
        delay_ms = self._hedge_delay_ms(call)
        for part in call.parts.values():
            if part.done or len(part.attempts) != 1:
                continue
            attempt = next(iter(part.attempts.values()))
            waited_ms = now_ms - attempt.sent_ms
            if waited_ms < delay_ms:
                continue
            if not attempt.overdue:
                attempt.overdue = True
                self._scores.on_overdue(attempt.upstream_id, waited_ms, now_ms)
            call.hedges += self._send_extra(call, part, now_ms)

    def _hedge_delay_ms(self, call: Call) -> float:
        share = call.request.traffic_class.hedge_quantile
        delay_ms = self._window(call).quantile(share, self._policy.first_hedge_ms)
        return max(self._policy.least_hedge_ms, delay_ms)

    def _schedule(self, call: Call, now_ms: float) -> None:
        at_ms = min(call.deadline_ms - self._policy.answer_margin_ms, call.next_retry_ms())
        if now_ms < self._patience_end_ms(call):
            at_ms = min(at_ms, self._patience_end_ms(call))
        if self._policy.hedging:
            delay_ms = self._hedge_delay_ms(call)
            if now_ms > call.started_ms:
                delay_ms = max(self._policy.least_hedge_ms, delay_ms / 4)
            at_ms = min(at_ms, now_ms + delay_ms)
        self._wake(call, at_ms)

    def _wake(self, call: Call, at_ms: float) -> None:
        if at_ms < call.wake_ms:
            call.wake_ms = at_ms
            heapq.heappush(self._due, (at_ms, call.call_id))

    # Ending.

    def _settle(self, call: Call, now_ms: float) -> list[Effect]:
        if call.call_id not in self._calls:
            return []
        hopeless = call.lost and call.best_coverage() < call.request.traffic_class.least_coverage
        if call.open_parts == 0 or hopeless or self._is_enough(call, now_ms):
            return [self._finish(call, now_ms)]
        return []

    def _is_enough(self, call: Call, now_ms: float) -> bool:
        traffic_class = call.request.traffic_class
        waited = now_ms >= self._patience_end_ms(call)
        return waited and call.coverage() >= traffic_class.least_coverage

    def _patience_end_ms(self, call: Call) -> float:
        if call.request.traffic_class.prefers == "coverage":
            return call.deadline_ms
        return call.started_ms + self._policy.patience_share * call.request.deadline_ms

    def _finish(self, call: Call, now_ms: float) -> Answer | Shortfall:
        for part in call.parts.values():
            if not part.done:
                if part.attempts:
                    part.why = "deadline"
                elif not part.sent:
                    part.why = "not-asked"
                call.lose(part)
        self._end(call, now_ms)
        answer = _answer(call, now_ms)
        least = call.request.traffic_class.least_coverage
        if answer.coverage < least:
            return Shortfall(answer, least, self._retry_after_ms(call))
        return answer

    def _retry_after_ms(self, call: Call) -> float:
        return max(100.0, call.request.deadline_ms)

    def _end(self, call: Call, now_ms: float) -> None:
        self._cancel_all(call, now_ms)
        del self._calls[call.call_id]
        del self._call_by_request[call.request.request_id]

    def _cancel_all(self, call: Call, now_ms: float) -> None:
        for part in call.parts.values():
            self._cancel_rest(call, part, now_ms)

    def _cancel_rest(self, call: Call, part: Part, now_ms: float) -> None:
        for number, attempt in part.attempts.items():
            self._scores.on_overdue(attempt.upstream_id, now_ms - attempt.sent_ms, now_ms)
            self._outbox.cancel(attempt.target.name, call.call_id, part.number, number)
            self._scores.on_ended(attempt.upstream_id)
        part.attempts.clear()

    def _flush(self, now_ms: float) -> list[Effect]:
        return list(self._outbox.flush(now_ms, self._policy.hop_margin_ms))

    def _budget(self, call: Call) -> ExtraLoadBudget:
        name = call.request.traffic_class.name
        budget = self._budgets.get(name)
        if budget is None:
            budget = self._budgets[name] = ExtraLoadBudget(self._policy.budget_tokens)
        return budget

    def _window(self, call: Call) -> LatencyWindow:
        name = call.request.collection
        window = self._latencies.get(name)
        if window is None:
            window = self._latencies[name] = LatencyWindow()
        return window


def _answer(call: Call, now_ms: float) -> Answer:
    limit = call.request.limit
    hits = heapq.nsmallest(limit, call.hits, key=_rank)
    return Answer(
        call.request.request_id,
        call.request.collection,
        call.plan.version,
        tuple(hits),
        call.covered_records,
        call.plan.total_records,
        tuple(sorted(call.lost, key=_first_key)),
        QueryStats(now_ms - call.started_ms, call.base, call.hedges, call.retries, call.redirects),
    )


def _rank(hit: dict) -> tuple[float, str]:
    return -hit["score"], str(hit["id"])


def _first_key(missing: Missing) -> int:
    return missing.lo


def all_answers(effects: Iterable[Effect]) -> list[Answer | Shortfall]:
    """Pick the final outcomes out of effects.

    :param effects: what the core asked for.
    :returns: answers and shortfalls.
    """
    return [effect for effect in effects if isinstance(effect, Answer | Shortfall)]
