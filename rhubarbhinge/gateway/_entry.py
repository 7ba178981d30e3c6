"""The components of an entry process."""

import random
import signal
from collections.abc import Callable
from typing import Any

from circuits import Component, handler

from rhubarbhinge.delegation import DelegateClient, DelegatedSender, DelegateRequest, DelegateServer
from rhubarbhinge.fleet import Delays, DomainReachability, Fleet, ObservedSearcher, expected_cost
from rhubarbhinge.forward import CallContext, CallTerms, ConnectionPool, Dialect
from rhubarbhinge.gateway._address import Address
from rhubarbhinge.gateway._answer_lead_time import AnswerLeadTime
from rhubarbhinge.gateway._buffer_limit import BufferLimit
from rhubarbhinge.gateway._call_terms import delegated_call_terms
from rhubarbhinge.gateway._capacity_delegation import CapacityDelegation, ShardCounts
from rhubarbhinge.gateway._connection_limit import connection_limit
from rhubarbhinge.gateway._domain_checks import DomainChecks
from rhubarbhinge.gateway._endpoints import metrics_handler, readiness_handler
from rhubarbhinge.gateway._entry_metrics import EntryMetrics
from rhubarbhinge.gateway._entry_settings import EntrySettings
from rhubarbhinge.gateway._forward_admission import ForwardAdmission, service_queues
from rhubarbhinge.gateway._full_searchers import FullSearchers
from rhubarbhinge.gateway._gateway import Gateway
from rhubarbhinge.gateway._gateway_dependencies import GatewayDependencies
from rhubarbhinge.gateway._heartbeat_extras import heartbeat_extras
from rhubarbhinge.gateway._link_usage import LinkUsage
from rhubarbhinge.gateway._live_settings import LiveSettings, ReadSettings
from rhubarbhinge.gateway._overload_metrics import overload_metrics
from rhubarbhinge.gateway._partition import minority_side, several_domains
from rhubarbhinge.gateway._readiness import DomainReadiness
from rhubarbhinge.gateway._request_memory import request_memory_bytes, warn_if_too_small
from rhubarbhinge.gateway._retry_loans import loan_requests, loan_service
from rhubarbhinge.gateway._serving_state import ServingState
from rhubarbhinge.gateway._shard_delegation import shard_delegation, without_long_searches
from rhubarbhinge.gateway._shutdown import Shutdown
from rhubarbhinge.gateway._slow_readers import SlowReaders
from rhubarbhinge.gateway._warmup_limiter import WarmupLimiter
from rhubarbhinge.peers import KnownState, Peers, SharedSource
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Follower, PlatformClient
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.retries import RetryBudget
from rhubarbhinge.telemetry import EventLog, Metrics, log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import HttpClient, HttpLimits, HttpServer

NO_PLAN_WAIT_MS = 600.0
"""Callers wait this long for the first plan, which takes 30 ms; then they are refused at once."""
HOUSEKEEPING_MS = 250.0
"""Interval of the periodic work on connections, log and serving state, and of reconnection attempts
to unreachable searchers. The work is done together because each wake-up has a cost."""
MAX_CALLER_CONNECTIONS = 2_500
"""Maximum number of callers' connections: the file descriptors of a VM minus those needed for
searchers and files."""
NEVER_GZIP_BYTES = 1 << 62
"""Disables compression, as the bodies of searchers are passed on unchanged."""
ASSUMED_ENTRIES = 8
"""Number of entries assumed to share limits until the others are known: the maximum at current
sites."""
MEMBERSHIP_SETTLE_MS = 3_000.0
"""Time after its start in which an entry learns of the others: several heartbeats."""
LINK_CHECK_MS = 500.0
"""Interval at which an entry opens missing links to others in its failure domain. Callers may
arrive as soon as it has a plan, and its first searches should already be divided."""
RELOAD_MS = 2_000.0
"""Interval at which the settings are reloaded, as they may change without a signal."""

STATE_IDLE_MS = 1_000.0
"""Time for which idle connections to the store and to other entries are kept: longer than the pause
between two watches, and too short for a dead one to delay a change for long."""

MakePlatformClient = Callable[[HttpClient, Callable[[], Address]], PlatformClient]
"""Creates a client of the store from an HTTP client and a function that returns its address."""


class Entry(Component):
    """An entry, which serves callers according to the state published by the platform.

    :param read_settings: reads the settings.
    :param dialect: translates messages of callers and searchers.
    :param make_store: creates the client of the platform's store.
    :param event_log: buffered event log, flushed periodically; None if events go elsewhere.
    :raises SettingsError: if the settings are invalid.
    :raises OSError: if a port cannot be bound.
    """

    channel = "entry"

    def __init__(
        self,
        read_settings: ReadSettings,
        dialect: Dialect,
        make_store: MakePlatformClient,
        event_log: EventLog | None = None,
    ):
        super().__init__()
        self._event_log = event_log
        self._settings = LiveSettings(read_settings, self._settings_changed)
        settings = self._settings.current
        self._stopping = False
        self._rng = random.Random(random.SystemRandom().getrandbits(64))
        self._metrics = Metrics()
        self.timers = TimerService().register(self)
        self._membership_settled_at_ms = self.timers.now_ms() + MEMBERSHIP_SETTLE_MS
        store_client = HttpClient(self.timers, idle_timeout_ms=STATE_IDLE_MS).register(self)
        peer_client = HttpClient(
            self.timers, accept_gzip=True, idle_timeout_ms=STATE_IDLE_MS
        ).register(self)
        self._fleet = Fleet(self.timers.now_ms, self._searcher_removed)
        self._reachability = DomainReachability(
            self.timers.now_ms,
            lambda failure_domain: self._domain_checks.suspect(failure_domain),
            lambda failure_domain: self._domain_checks.on_heard(failure_domain),
        )
        buffer_limit = BufferLimit(settings.memory_bytes)
        self._pool = ConnectionPool(
            self.timers,
            dialect,
            self._max_connections,
            self._fleet.mark_gone,
            self._reachability,
            buffer_limit.limit_bytes,
        ).register(self)
        self._domain_checks = DomainChecks(
            self.timers,
            self._fleet,
            self._pool,
            self._reachability,
            self._rng,
            self._domain_changed,
        )
        self._budget = RetryBudget(settings.retry_budget, self.timers.now_ms, self._processes)
        loans = loan_requests(
            self.timers,
            self._budget,
            peer_client,
            settings.peer_port,
            lambda: self._peers.membership,
            self._rng,
        )
        cost_function = expected_cost(settings.failure_domain, self._rng)
        context = CallContext(
            self.timers,
            self._fleet,
            cost_function,
            self._budget,
            lambda exchange, on_outcome: self._delegated_sender.send(exchange, on_outcome),
            self._metrics,
            lambda observed, now_ms: self._warmup_limiter.may_send(observed, now_ms),
            loans,
        )
        quarantine = Quarantine(
            self.timers.now_ms,
            lambda fingerprint: self._peers.quarantine_gossip.may_try(fingerprint),
            lambda: self._peers.quarantine_gossip.announce(),
            self._rng,
        )
        source = SharedSource(
            self.timers,
            peer_client,
            make_store(store_client, lambda: self._settings.current.store),
            settings.name,
            settings.failure_domain,
            settings.peer_port,
            settings.freshness,
        )
        self._follower = Follower(
            self.timers,
            source,
            self._fleet,
            self._rng,
            self._plan_changed,
            settings.freshness,
        )
        self._has_several_domains = several_domains(
            settings.failure_domain, self._fleet, lambda: self._peers.membership
        )
        self._readiness = DomainReadiness(
            self.timers.now_ms,
            lambda: self._follower.plan,
            self._fleet,
            lambda: self._gateway.recent_requests(),
            self._has_several_domains,
            minority_side(settings.failure_domain, self._fleet, self._domain_checks.unreachable),
        )
        full_searchers = FullSearchers(self._fleet, self.timers.now_ms)
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
            settings.capacity,
            heartbeat_extras(
                self._domain_checks, self._readiness, self._has_several_domains, full_searchers
            ),
            loan_service(self.timers, self._budget, self._fleet, lambda: self._peers.membership),
        ).register(self)
        membership = self._peers.membership
        source.set_peers(
            membership, self._peers.reports, lambda: KnownState.from_follower(self._follower)
        )
        self._warmup_limiter = WarmupLimiter(
            self._follower, membership, lambda: self._settings.current.cold_rule, self.timers.now_ms
        )
        self.timers.on_pause(lambda late_ms: self._warmup_limiter.on_pause())
        delegate_client = DelegateClient(
            self.timers, membership, settings.ask_port, self._rng, self._reachability
        ).register(self)
        self._connection_limit = connection_limit(
            self._follower,
            membership,
            self._processes,
            lambda: delegate_client.capacities.own_share,
        )
        prepare = delegate_client.prepare
        self.timers.every(LINK_CHECK_MS, lambda: prepare(settings.failure_domain))
        self._delegated_sender = DelegatedSender(
            self.timers, delegate_client, settings.failure_domain, self._pool.send
        )
        by_capacity = CapacityDelegation(
            delegate_client,
            settings.failure_domain,
            settings.capacity,
            lambda: self._pool.in_progress,
        )
        shard_counts = ShardCounts()
        delegation = shard_delegation(
            settings.failure_domain,
            context,
            delegate_client,
            self._rng,
            by_capacity,
            shard_counts,
        )
        delegation = without_long_searches(delegation)
        admission = ForwardAdmission(
            service_queues(self._fleet, self._pool), self.timers.now_ms, self._rng
        )
        dependencies = GatewayDependencies(
            context,
            dialect,
            self._follower,
            self._metrics,
            self._rng,
            delegation,
            AnswerLeadTime(lambda: self._settings.current.link_bits_per_ms),
            lambda: self._serving_state.balancer_delay_ms(),
            quarantine,
            admission,
            lambda: self._slow_readers.refuses_requests(),
        )
        self._gateway = Gateway(dependencies)
        self._serving_state = ServingState(
            self.timers.now_ms, self._fleet, self._readiness.is_ready, self._serving_changed
        )
        self._delegate_server = DelegateServer(
            self.timers,
            context,
            self._delegated_call_terms,
            self._gateway.delays_of,
            (settings.ip, settings.ask_port),
            lambda: self._pool.in_progress,
        ).register(self)
        # Listens already; accepts connections once registered, with the first plan or a timeout.
        self._callers = HttpServer(
            self.timers,
            self._gateway.handle,
            settings.callers,
            _limits(CallerLimits(), is_provisional=True),
            lambda: self._slow_readers.on_unsent(),
            request_memory_bytes(settings.memory_bytes),
        )
        self._accepts_callers = False
        self._caller_limits: CallerLimits | None = None
        self._memory_bytes = settings.memory_bytes
        self._slow_readers = SlowReaders(
            buffer_limit,
            self._pool,
            self._callers.links,
            (delegate_client.links, self._delegate_server.links, self._peers.links),
            self.timers.now_ms,
        )
        self._link_usage = LinkUsage(
            {
                "callers": lambda: self._callers.sent_bytes,
                "searchers": lambda: self._pool.sent_bytes,
                "asks": lambda: delegate_client.sent_bytes,
                "parts": lambda: self._delegate_server.sent_bytes,
                "state": lambda: self._peers.sent_bytes,
            },
            lambda: self._settings.current.link_bits_per_ms,
            self.timers.now_ms,
        )
        entry_metrics = EntryMetrics(
            self._follower,
            self._peers,
            source,
            self._fleet,
            self._pool,
            self._budget,
            self._link_usage,
            quarantine,
            event_log,
            overload_metrics(
                self._fleet,
                self._budget,
                loans,
                admission,
                self._domain_checks,
                full_searchers,
                shard_counts,
                self._slow_readers,
                self._callers,
            ),
        )
        self._shutdown = Shutdown(
            self.timers, self._callers, self._delegate_server, self._limit_deadlines, self.stop
        )
        self.timers.after(NO_PLAN_WAIT_MS, self._accept_callers)
        readiness = readiness_handler(
            lambda: self._settings.current.readiness_path, lambda: self.ready
        )
        HttpServer(self.timers, readiness, settings.readiness).register(self)
        metrics = metrics_handler(self._metrics, entry_metrics)
        HttpServer(self.timers, metrics, (settings.ip, settings.metrics_port)).register(self)
        self._housekeeping_due_ms = self.timers.now_ms() + HOUSEKEEPING_MS
        self.timers.every(HOUSEKEEPING_MS, self._run_housekeeping)
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
        """Whether the load balancer may send callers to this entry."""
        return not self._stopping and self._serving_state.is_serving

    def _limit_deadlines(self, latest_ms: float) -> None:
        self._pool.limit_deadlines(latest_ms)
        self._gateway.limit_deadlines(latest_ms)
        self._delegate_server.limit_deadlines(latest_ms)

    def _settings_changed(self, settings: EntrySettings) -> None:
        self._budget.rule = settings.retry_budget
        self._peers.membership.set_seeds(settings.seed_ips)

    def _delegated_call_terms(self, request: DelegateRequest, delays: Delays) -> CallTerms:
        return delegated_call_terms(request, delays, self.timers.now_ms())

    def _processes(self) -> int:
        now_ms = self.timers.now_ms()
        if now_ms < self._membership_settled_at_ms:
            return max(ASSUMED_ENTRIES, self._peers.membership.process_count())
        return self._peers.membership.process_count()

    def _max_connections(self, observed: ObservedSearcher) -> int:
        return self._connection_limit(observed)

    def _searcher_removed(self, observed: ObservedSearcher) -> None:
        self._pool.forget(observed)

    def _run_housekeeping(self) -> None:
        self._pool.close_idle()
        self._slow_readers.check()
        self._domain_checks.probe()
        self._serving_state.update()
        self._link_usage.close_period()
        self._budget.observe_processes()
        now_ms = self.timers.now_ms()
        self._metrics.observe_loop_lag(max(0.0, now_ms - self._housekeeping_due_ms))
        self._housekeeping_due_ms = now_ms + HOUSEKEEPING_MS
        if self._event_log is not None:
            self._event_log.flush()

    def _domain_changed(self) -> None:
        self._serving_state.update()
        if self._has_several_domains():
            self._peers.local_rounds.announce()

    def _serving_changed(self, serving: bool) -> None:
        self._callers.close_after_responses(not serving)
        if not serving and self._has_several_domains() and self._readiness.requests_to_report():
            self._peers.local_rounds.announce_to_all()

    def _accept_callers(self) -> None:
        if not self._accepts_callers:
            self._accepts_callers = True
            self._callers.register(self)

    def _plan_changed(self, plan: ServingPlan) -> None:
        self._accept_callers()
        self._peers.announce_plan()
        self._gateway.on_plan(plan)
        if plan.limits != self._caller_limits:
            self._caller_limits = plan.limits
            self._callers.set_limits(_limits(plan.limits))
            warn_if_too_small(plan.limits, self._memory_bytes)
        self._serving_state.update()

    @handler("signal", channel="*")
    def _on_signal(self, event: Any, number: int, stack: Any) -> None:
        event.stop()
        if number in (signal.SIGTERM, signal.SIGINT):
            self.stop_gracefully()

    def stop_gracefully(self) -> None:
        """Stop: report not ready, close idle connections, answer remaining requests, then end."""
        if self._stopping:
            return
        self._stopping = True
        self._shutdown.begin(self._settings.current.stop_grace_ms)
        self._peers.leave()


def _limits(limits: CallerLimits, is_provisional: bool = False) -> HttpLimits:
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        connections=MAX_CALLER_CONNECTIONS,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
        gzip_min_bytes=NEVER_GZIP_BYTES,
        is_provisional=is_provisional,
    )
