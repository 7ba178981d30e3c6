"""Callers' searches: admitted, carried out by the query core, answered."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from rhubarbhinge import api
from rhubarbhinge.admission import Limiter, Refused
from rhubarbhinge.daemons._configview import ConfigView
from rhubarbhinge.daemons._waker import Waker
from rhubarbhinge.query import (
    Answer,
    Catalog,
    Effect,
    MissingRange,
    QueryCore,
    QueryPolicy,
    QueryStats,
    SearchRequest,
    SendBatch,
    SendCancel,
    Shortfall,
)
from rhubarbhinge.query import RelayTarget as Target
from rhubarbhinge.telemetry import Metrics, SubQueryKind, log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Request, Responder
from rhubarbhinge.wire import HoldingReport, ReplyBatch, UpstreamReport, upstream_id

_MOST_SLEEP_MS = 50.0
#: Searches slower than this share of their deadline are logged.
_SLOW_SHARE = 0.9
#: Missing ranges whose replicas a log line describes.
_MOST_RANGES_LOGGED = 4

_Send = Callable[[str, object], bool]


@dataclass(frozen=True, slots=True)
class _Open:
    responder: Responder
    class_name: str
    deadline_ms: float


class Searches:
    """The searches of one entry.

    :param timers: the timer service.
    :param config: the configuration in force.
    :param relay_of: gives a searcher's relay.
    :param is_expected: tells whether a searcher without a relay will have one again soon.
    :param send: sends a message to a node.
    :param metrics: counts and histograms.
    :param rng: source of random choices.
    :param policy: constants and switches of the query core.
    :param limiter: admits or refuses.
    """

    def __init__(
        self,
        timers: TimerService,
        config: ConfigView,
        relay_of: Callable[[int], Target | None],
        is_expected: Callable[[int], bool],
        send: _Send,
        metrics: Metrics,
        rng: random.Random,
        policy: QueryPolicy,
        limiter: Limiter,
    ) -> None:
        self._timers = timers
        self._config = config
        self._send = send
        self._metrics = metrics
        self._catalog = Catalog()
        self._relay_of = relay_of
        self._core = QueryCore(policy, self._catalog, relay_of, rng, is_expected)
        self._limiter = limiter
        self._open: dict[int, _Open] = {}
        self._numbers = itertools.count(1)
        self._waker = Waker(timers, self._tick, _MOST_SLEEP_MS)

    @property
    def catalog(self) -> Catalog:
        """Give what the searchers announce.

        :returns: the catalog.
        """
        return self._catalog

    @property
    def limiter(self) -> Limiter:
        """Give the limits.

        :returns: the limiter.
        """
        return self._limiter

    def in_flight(self) -> int:
        """Count open searches.

        :returns: their number.
        """
        return len(self._open)

    def config_changed(self) -> None:
        """Follow a new register or new rules."""
        rules = self._config.rules
        if rules is not None:
            heaviest = max(traffic_class.weight for traffic_class in rules.classes)
            self._limiter.configure(rules.limits.in_flight, heaviest)
        register = self._config.register
        if register is not None:
            named = {upstream_id(upstream.name) for upstream in register.upstreams}
            self._catalog.remove(self._catalog.announced() - named)

    def start(self, request: Request, responder: Responder) -> None:
        """Take a caller's search.

        :param request: the request.
        :param responder: answers it.
        """
        register, rules = self._config.register, self._config.rules
        command = api.parse_search(request.body, register, rules)
        if isinstance(command, api.ApiError):
            self._metrics.count_refusal(command.code)
            responder.answer(api.error(command))
            return
        now_ms = self._timers.now_ms()
        traffic_class = command.traffic_class
        verdict = self._limiter.admit(traffic_class.weight, now_ms)
        if isinstance(verdict, Refused):
            self._refuse(responder, verdict)
            return
        number = next(self._numbers)
        self._open[number] = _Open(responder, traffic_class.name, command.deadline_ms)
        responder.on_abandoned(lambda: self._abandoned(number))
        search = SearchRequest(
            number,
            command.collection,
            command.text,
            command.limit,
            traffic_class,
            command.deadline_ms,
            register.revision,
        )
        self._carry_out(self._core.start(search, now_ms))

    def on_reply(self, relay: str, batch: ReplyBatch) -> None:
        """Take a relay's answers.

        :param relay: its node name.
        :param batch: the answers.
        """
        self._carry_out(self._core.on_reply(relay, batch, self._timers.now_ms()))

    def on_report(self, report: UpstreamReport) -> None:
        """Take a relay's load report.

        :param report: the report.
        """
        self._core.on_report(report)

    def on_holding(self, report: HoldingReport) -> None:
        """Take a searcher's announcement.

        :param report: the announcement.
        """
        self._catalog.on_holdings(report)

    def on_relay_lost(self, relay: str) -> None:
        """Ask elsewhere what a lost relay was asked.

        :param relay: its node name.
        """
        self._carry_out(self._core.on_relay_lost(relay, self._timers.now_ms()))

    def _tick(self) -> None:
        self._carry_out(self._core.tick(self._timers.now_ms()))

    def _abandoned(self, number: int) -> None:
        now_ms = self._timers.now_ms()
        known = self._open.pop(number, None)
        if known is None:
            return
        self._limiter.ended(0.0, known.deadline_ms, True, now_ms)
        self._carry_out(self._core.abandon(number, now_ms))

    def _refuse(self, responder: Responder, verdict: Refused) -> None:
        self._metrics.count_refusal("overloaded")
        fault = api.ApiError(
            503,
            "overloaded",
            "Too many searches are open; this one was not run.",
            "Ask again after the given time.",
            retry_after_ms=round(verdict.retry_after_ms),
        )
        responder.answer(api.error(fault))

    # Effects.

    def _carry_out(self, effects: list[Effect]) -> None:
        unsent = []
        for effect in effects:
            match effect:
                case SendBatch(relay, batch):
                    if not self._send(relay, batch):
                        unsent.append(relay)
                case SendCancel(relay, batch):
                    self._send(relay, batch)
                case Answer():
                    self._answer(effect)
                case Shortfall():
                    self._fall_short(effect)
        for relay in unsent:
            self.on_relay_lost(relay)
        due_ms = self._core.next_due_ms()
        if due_ms is not None:
            self._waker.wake_by(due_ms)

    def _answer(self, answer: Answer) -> None:
        known = self._end(answer, met=True)
        if known is not None:
            revisions = self._config.revisions()
            known.responder.answer(api.answer(answer, revisions))

    def _fall_short(self, shortfall: Shortfall) -> None:
        known = self._end(shortfall.answer, met=False)
        if known is not None:
            self._metrics.count_refusal("coverage-too-low")
            known.responder.answer(api.shortfall(shortfall))

    def _end(self, answer: Answer, met: bool) -> _Open | None:
        known = self._open.pop(answer.request_id, None)
        if known is None:
            return None
        stats = answer.stats
        self._limiter.ended(stats.took_ms, known.deadline_ms, met, self._timers.now_ms())
        tenant = self._config.register.tenant
        self._metrics.observe_latency(tenant, known.class_name, stats.took_ms)
        self._metrics.observe_coverage(tenant, known.class_name, answer.coverage)
        self._count(known.class_name, stats)
        if answer.missing or stats.took_ms > _SLOW_SHARE * known.deadline_ms:
            self._log(answer, known)
        return known

    def _count(self, class_name: str, stats: QueryStats) -> None:
        self._metrics.count_sub_queries(class_name, SubQueryKind.BASE, stats.base)
        self._metrics.count_sub_queries(class_name, SubQueryKind.HEDGE, stats.hedges)
        self._metrics.count_sub_queries(class_name, SubQueryKind.RETRY, stats.retries)

    def _log(self, answer: Answer, known: _Open) -> None:
        reasons = sorted({missing.why for missing in answer.missing})
        log_event(
            "search-thin" if answer.missing else "search-slow",
            traffic_class=known.class_name,
            collection=answer.collection,
            version=answer.version,
            coverage=round(answer.coverage, 6),
            missing_ranges=len(answer.missing),
            why=",".join(reasons),
            replicas=self._replicas(answer),
            took_ms=round(answer.stats.took_ms, 1),
        )

    def _replicas(self, answer: Answer) -> str:
        """Describe who holds the missing ranges, as known when the search ends."""
        return "; ".join(
            f"{missing.lo}-{missing.hi}: {self._holders(answer, missing)}"
            for missing in answer.missing[:_MOST_RANGES_LOGGED]
        )

    def _holders(self, answer: Answer, missing: MissingRange) -> str:
        numbers = self._catalog.holders(answer.collection, answer.version, missing.lo, missing.hi)
        names = {upstream_id(each.name): each.name for each in self._config.register.upstreams}
        return " ".join(
            f"{names.get(number, number)}={self._catalog.state(number).name.lower()}"
            f"@{self._relay_name(number)}"
            for number in numbers
        )

    def _relay_name(self, number: int) -> str:
        relay = self._relay_of(number)
        return "unlinked" if relay is None else relay.name
