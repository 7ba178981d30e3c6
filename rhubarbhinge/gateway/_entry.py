"""The process of an entry."""

import random
import signal
from collections.abc import Callable
from typing import Any

from circuits import Component, handler

from rhubarbhinge.delegation import Ask, AskServer, Delegates, FarSends
from rhubarbhinge.fleet import Delays, DomainReachability, Fleet, ObservedSearcher, expected_cost
from rhubarbhinge.forward import CallContext, CallTerms, ConnectionPool, Dialect
from rhubarbhinge.gateway._address import Address
from rhubarbhinge.gateway._answer_lead import AnswerLead
from rhubarbhinge.gateway._call_terms import ask_terms
from rhubarbhinge.gateway._cold_shares import ColdShares
from rhubarbhinge.gateway._connection_shares import connection_shares
from rhubarbhinge.gateway._domain_checks import DomainChecks
from rhubarbhinge.gateway._entry_settings import EntrySettings
from rhubarbhinge.gateway._far_search import far_search
from rhubarbhinge.gateway._figures import EntryFigures
from rhubarbhinge.gateway._gateway import Gateway
from rhubarbhinge.gateway._gateway_parts import GatewayParts
from rhubarbhinge.gateway._link_use import LinkUse
from rhubarbhinge.gateway._live_settings import LiveSettings, ReadSettings
from rhubarbhinge.gateway._pages import metrics_page, readiness_page
from rhubarbhinge.gateway._serving import Serving
from rhubarbhinge.gateway._shutdown import Shutdown
from rhubarbhinge.peers import KnownState, Peers, SharedSource
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Follower, Source
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.retries import RetryBudget
from rhubarbhinge.telemetry import EventLog, Metrics, log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import HttpClient, HttpLimits, HttpServer

NO_PLAN_WAIT_MS = 600.0
"""Callers wait this long for the first plan, which takes 30 ms; then they are refused at once."""
HOUSEKEEPING_MS = 250.0
"""How often an entry looks after its connections, its log, and whether it can serve; together, as
each wake-up costs. Searchers that can't be reached are tried as often."""
MOST_CALLER_CONNECTIONS = 2_500
"""Callers' connections; the descriptors of a VM less those for searchers and files."""
NEVER_GZIP_BYTES = 1 << 62
"""Searchers' bodies are passed on as they are."""
ASSUMED_PROCESSES = 8
"""Entries that share limits while the others have not been heard of; the most of today's sites."""
SETTLE_MS = 3_000.0
"""Within so long after its start an entry has heard of the others: several heartbeats."""

LINKS_MS = 500.0
"""How often an entry opens the links that it lacks to others of its failure domain. Callers may
come as soon as it has a plan, and its first searches are to be split as all others."""
RELOAD_MS = 2_000.0
"""How often the settings are read again, as they may change without a signal."""

MakeSource = Callable[[HttpClient, Callable[[], Address]], Source]
"""Makes a source from the client that it calls by and what gives the store's address."""


class Entry(Component):
    """An entry that answers callers by what the platform publishes.

    :param read_settings: reads its settings.
    :param dialect: translates messages of callers and searchers.
    :param make_source: makes the reader of published state.
    :param event_log: keeps events until there is time to write them; None if they go elsewhere.
    :raises SettingsError: when the settings can not be used.
    :raises OSError: when a port can not be bound.
    """

    channel = "entry"

    def __init__(
        self,
        read_settings: ReadSettings,
        dialect: Dialect,
        make_source: MakeSource,
        event_log: EventLog | None = None,
    ):
        super().__init__()
        self._event_log = event_log
        self._settings = LiveSettings(read_settings, self._settings_changed)
        settings = self._settings.now
        self._stopping = False
        self._rng = random.Random(random.SystemRandom().getrandbits(64))
        self._metrics = Metrics()
        self.timers = TimerService().register(self)
        self._settled_at_ms = self.timers.now_ms() + SETTLE_MS
        store_client = HttpClient(self.timers).register(self)
        peer_client = HttpClient(self.timers, takes_gzip=True).register(self)
        self._fleet = Fleet(self.timers.now_ms, self._searcher_left)
        self._reachability = DomainReachability(
            self.timers.now_ms,
            lambda failure_domain: self._domain_checks.suspect(failure_domain),
            lambda failure_domain: self._domain_checks.heard(failure_domain),
        )
        self._pool = ConnectionPool(
            self.timers, dialect, self._most_connections, self._fleet.mark_gone, self._reachability
        ).register(self)
        self._domain_checks = DomainChecks(
            self.timers,
            self._fleet,
            self._pool,
            self._reachability,
            self._rng,
            lambda: self._serving.check(),
        )
        self._budget = RetryBudget(settings.retry_budget, self.timers.now_ms, self._processes)
        cost_function = expected_cost(settings.failure_domain, self._rng)
        context = CallContext(
            self.timers,
            self._fleet,
            cost_function,
            self._budget,
            lambda exchange, tell: self._far_sends.send(exchange, tell),
            self._metrics,
            lambda observed, now_ms: self._cold_shares.may_send(observed, now_ms),
        )
        quarantine = Quarantine(
            self.timers.now_ms,
            lambda fingerprint: self._peers.quarantine_news.may_try(fingerprint),
            lambda: self._peers.quarantine_news.tell(),
            self._rng,
        )
        source = SharedSource(
            self.timers,
            peer_client,
            make_source(store_client, lambda: self._settings.now.store),
            settings.name,
            settings.failure_domain,
            settings.peer_port,
        )
        self._follower = Follower(
            self.timers,
            source,
            self._fleet,
            self._rng,
            self._plan_changed,
        )
        self._peers = Peers(
            self.timers,
            peer_client,
            self._follower,
            settings.name,
            settings.ip,
            settings.peer_port,
            settings.failure_domain,
            settings.seed_ips,
            self._rng,
            lambda: source.reads_platform,
            quarantine,
        ).register(self)
        membership = self._peers.membership
        source.know(membership, self._peers.reports, lambda: KnownState.of(self._follower))
        self._cold_shares = ColdShares(
            self._follower, membership, lambda: self._settings.now.cold_rule, self.timers.now_ms
        )
        self.timers.on_pause(lambda late_ms: self._cold_shares.on_pause())
        self._share = connection_shares(self._follower, membership, self._processes)
        delegates = Delegates(
            self.timers, membership, settings.ask_port, self._rng, self._reachability
        ).register(self)
        prepare = delegates.prepare
        self.timers.every(LINKS_MS, lambda: prepare(settings.failure_domain))
        self._far_sends = FarSends(self.timers, delegates, settings.failure_domain, self._pool.send)
        far = far_search(settings.failure_domain, context, delegates, self._rng)
        parts = GatewayParts(
            context,
            dialect,
            self._follower,
            self._metrics,
            self._rng,
            far,
            AnswerLead(lambda: self._settings.now.link_bits_per_ms),
            lambda: self._serving.moving_ms(),
            quarantine,
        )
        self._gateway = Gateway(parts)
        self._serving = Serving(
            self.timers.now_ms, self._fleet, self._gateway.can_serve, self._serving_changed
        )
        self._asks = AskServer(
            self.timers,
            context,
            self._ask_terms,
            self._gateway.delays_of,
            (settings.ip, settings.ask_port),
        ).register(self)
        # It listens from now on, and accepts once it is registered: when there is a plan.
        self._callers = HttpServer(
            self.timers, self._gateway.handle, settings.callers, _limits(CallerLimits())
        )
        self._accepting = False
        self._link_use = LinkUse(
            {
                "callers": lambda: self._callers.sent_bytes,
                "searchers": lambda: self._pool.sent_bytes,
                "asks": lambda: delegates.sent_bytes,
                "parts": lambda: self._asks.sent_bytes,
                "state": lambda: self._peers.sent_bytes,
            },
            lambda: self._settings.now.link_bits_per_ms,
            self.timers.now_ms,
        )
        figures = EntryFigures(
            self._follower,
            self._peers,
            source,
            self._fleet,
            self._pool,
            self._budget,
            self._link_use,
            quarantine,
            event_log,
        )
        self._shutdown = Shutdown(self.timers, self._callers, self._asks, self.stop)
        self.timers.after(NO_PLAN_WAIT_MS, self._accept_callers)
        readiness = readiness_page(lambda: self._settings.now.readiness_path, lambda: self.ready)
        HttpServer(self.timers, readiness, settings.readiness).register(self)
        metrics = metrics_page(self._metrics, figures)
        HttpServer(self.timers, metrics, (settings.ip, settings.metrics_port)).register(self)
        self._house_due_ms = self.timers.now_ms() + HOUSEKEEPING_MS
        self.timers.every(HOUSEKEEPING_MS, self._keep_house)
        reload = self._settings.reload
        self.timers.every(RELOAD_MS, reload)
        signal.signal(signal.SIGHUP, lambda number, stack: self.timers.after(0, reload))
        self._follower.start()
        log_event(
            "entry-started",
            ip=settings.ip,
            failure_domain=settings.failure_domain,
            callers_port=settings.callers.port,
            store=f"{settings.store.ip}:{settings.store.port}",
            stop_grace_ms=settings.stop_grace_ms,
            retry_ratio=settings.retry_budget.ratio,
            retry_slack=settings.retry_budget.slack,
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return not self._stopping and self._serving.now

    def _settings_changed(self, settings: EntrySettings) -> None:
        self._budget.rule = settings.retry_budget
        self._peers.membership.follow_seeds(settings.seed_ips)

    def _ask_terms(self, ask: Ask, delays: Delays) -> CallTerms:
        return ask_terms(ask, delays, self.timers.now_ms())

    def _processes(self) -> int:
        now_ms = self.timers.now_ms()
        if now_ms < self._settled_at_ms:
            return max(ASSUMED_PROCESSES, self._peers.membership.processes())
        return self._peers.membership.processes()

    def _most_connections(self, observed: ObservedSearcher) -> int:
        return self._share(observed)

    def _searcher_left(self, observed: ObservedSearcher) -> None:
        self._pool.forget(observed)

    def _keep_house(self) -> None:
        self._pool.close_idle()
        self._domain_checks.probe()
        self._serving.check()
        self._link_use.check()
        now_ms = self.timers.now_ms()
        self._metrics.observe_loop_lag(max(0.0, now_ms - self._house_due_ms))
        self._house_due_ms = now_ms + HOUSEKEEPING_MS
        if self._event_log is not None:
            self._event_log.flush()

    def _serving_changed(self, serving: bool) -> None:
        self._callers.close_after_answers(not serving)

    def _accept_callers(self) -> None:
        if not self._accepting:
            self._accepting = True
            self._callers.register(self)

    def _plan_changed(self, plan: ServingPlan) -> None:
        self._accept_callers()
        self._peers.tell_plan()
        self._gateway.on_plan(plan)
        self._callers.limit(_limits(plan.limits))
        self._serving.check()

    # Stopping.

    @handler("signal", channel="*")
    def _on_signal(self, event: Any, number: int, stack: Any) -> None:
        event.stop()
        if number in (signal.SIGTERM, signal.SIGINT):
            self.stop_gracefully()

    def stop_gracefully(self) -> None:
        """Stop: not ready, close idle connections, answer what comes, then end."""
        if self._stopping:
            return
        self._stopping = True
        self._shutdown.begin(self._settings.now.stop_grace_ms)
        self._peers.leave()


def _limits(limits: CallerLimits) -> HttpLimits:
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        connections=MOST_CALLER_CONNECTIONS,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
        gzip_least_bytes=NEVER_GZIP_BYTES,
    )
