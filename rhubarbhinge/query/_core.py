"""The query core: fan-out, hedging, retries, merging and deadlines of all queries."""

import random
from collections.abc import Iterable

from rhubarbhinge.query._catalog import Catalog
from rhubarbhinge.query._completion import cancel_and_remove, finish, finish_if_decided
from rhubarbhinge.query._effects import Answer, Effect, Shortfall
from rhubarbhinge.query._hedging import hedge, schedule_next_check
from rhubarbhinge.query._planning import plan_and_send
from rhubarbhinge.query._policy import QueryPolicy
from rhubarbhinge.query._query import Query
from rhubarbhinge.query._retrying import resend_lost, resend_waiting
from rhubarbhinge.query._search_request import SearchRequest
from rhubarbhinge.query._shared_query_state import FindRelay, IsRelayExpected, SharedQueryState
from rhubarbhinge.query._sub_replies import handle_outcome
from rhubarbhinge.wire import ReplyBatch, UpstreamReport, UpstreamState

_STATES = {int(state): state for state in UpstreamState}


def _no_relay_expected(upstream_id: int) -> bool:
    return False


class QueryCore:
    """All queries of one entry, without I/O: methods return the effects to carry out.

    :param policy: constants and switches.
    :param catalog: the searchers' announcements; the daemon updates it.
    :param relay_of: returns the relay that owns a searcher, or None when no relay is reachable.
    :param rng: source of random choices.
    :param is_expected: returns whether a searcher without a relay is expected to have one again
        soon, so that a part may wait for it.
    """

    def __init__(
        self,
        policy: QueryPolicy,
        catalog: Catalog,
        relay_of: FindRelay,
        rng: random.Random,
        is_expected: IsRelayExpected = _no_relay_expected,
    ) -> None:
        self._state = SharedQueryState(policy, catalog, relay_of, rng, is_expected)
        self._sequence = 0

    def in_flight(self) -> int:
        """Return the number of open queries.

        :returns: the number.
        """
        return len(self._state.open.queries)

    def next_due_ms(self) -> float | None:
        """Return the time at which the next tick is due.

        :returns: milliseconds on the caller's clock, or None when nothing is scheduled.
        """
        return self._state.open.next_due_ms()

    def start(self, request: SearchRequest, now_ms: float) -> list[Effect]:
        """Start a query.

        :param request: the admitted search.
        :param now_ms: current time in ms.
        :returns: sub-queries to send, or the answer when no searcher can be asked.
        """
        self._sequence += 1
        query = Query(self._sequence, request, now_ms)
        self._state.open.add(query)
        effects = plan_and_send(self._state, query, now_ms)
        if self._state.open.is_open(query):
            schedule_next_check(self._state, query, now_ms)
        return effects + self._flush(now_ms)

    def on_reply(self, relay: str, batch: ReplyBatch, now_ms: float) -> list[Effect]:
        """Handle a relay's replies to sub-queries.

        :param relay: the relay's node name, from its link.
        :param batch: the replies; those that match no outstanding attempt are ignored.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        state = self._state
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
            query = state.open.queries.get(call_id)
            part = query.parts.get(number) if query else None
            attempt = part.attempts.get(attempt_number) if part else None
            if attempt is None or attempt.target.name != relay:
                continue
            del part.attempts[attempt_number]
            state.scores.on_ended(attempt.upstream_id)
            if not part.done:
                part.wait_ms = wait_ms
                effects += handle_outcome(state, query, part, attempt, outcome, body, now_ms)
        return effects + self._flush(now_ms)

    def on_report(self, report: UpstreamReport) -> None:
        """Handle a relay's report on its searchers.

        :param report: states and loads of the searchers.
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
            self._state.catalog.on_state(upstream_id, _STATES.get(state, UpstreamState.UNKNOWN))
            self._state.scores.on_report(upstream_id, queued, in_flight, slots)

    def on_relay_lost(self, relay: str, now_ms: float) -> list[Effect]:
        """Handle the loss of a relay's link: resend its outstanding sub-queries elsewhere.

        :param relay: the relay's node name.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Effect] = []
        for query in list(self._state.open.queries.values()):
            for part in list(query.parts.values()):
                effects += resend_lost(self._state, query, part, relay, now_ms)
        return effects + self._flush(now_ms)

    def abandon(self, request_id: int, now_ms: float) -> list[Effect]:
        """Cancel the query of a caller that has disconnected.

        :param request_id: the caller's request.
        :param now_ms: current time in ms.
        :returns: cancellations to send.
        """
        query = self._state.open.of_request(request_id)
        if query is not None:
            cancel_and_remove(self._state, query, now_ms)
        return self._flush(now_ms)

    def tick(self, now_ms: float) -> list[Effect]:
        """Process all queries that are due: hedges, retries and deadlines.

        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Effect] = []
        while (query := self._state.open.pop_due(now_ms)) is not None:
            effects += self._process_due(query, now_ms)
        return effects + self._flush(now_ms)

    def _process_due(self, query: Query, now_ms: float) -> list[Effect]:
        state = self._state
        if now_ms >= query.deadline_ms - state.policy.answer_margin_ms:
            return [finish(state, query, now_ms)]
        answered = finish_if_decided(state, query, now_ms) or resend_waiting(state, query, now_ms)
        if answered:
            return answered
        hedge(state, query, now_ms)
        schedule_next_check(state, query, now_ms)
        return []

    def _flush(self, now_ms: float) -> list[Effect]:
        return list(self._state.outbox.flush(now_ms, self._state.policy.hop_margin_ms))


def all_answers(effects: Iterable[Effect]) -> list[Answer | Shortfall]:
    """Return the final outcomes among effects.

    :param effects: effects returned by the core.
    :returns: answers and shortfalls.
    """
    return [effect for effect in effects if isinstance(effect, Answer | Shortfall)]
