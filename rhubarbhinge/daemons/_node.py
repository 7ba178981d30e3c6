"""What entries and relays have in common: links, configuration, membership, operators' pages."""

import random
import signal
from typing import Any

import orjson
from circuits import Component, handler

from rhubarbhinge.daemons._controlshell import ControlShell
from rhubarbhinge.daemons._identity import Identity, new_incarnation
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._peerlinks import PeerLinks
from rhubarbhinge.net import MAX_FRAME_BODY_BYTES
from rhubarbhinge.settings import NodeSettings
from rhubarbhinge.telemetry import CONTENT_TYPE, Metrics, log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import (
    HttpClient,
    HttpLimits,
    HttpServer,
    Request,
    Responder,
    Response,
    error_response,
)

#: How often a stopping node looks whether all is finished.
_STOP_POLL_MS = 20.0


class Node(Component):
    """The shell around one node; subclasses add what their role does.

    :param settings: the node's settings.
    :param role: ``entry`` or ``relay``.
    """

    channel = "node"

    def __init__(self, settings: NodeSettings, role: str) -> None:
        super().__init__()
        self.settings = settings
        self.rng = random.Random(random.SystemRandom().getrandbits(64))
        self.identity = Identity(
            settings.node_name(role),
            role,
            settings.failure_domain,
            settings.ip,
            settings.peer_port,
            new_incarnation(random.SystemRandom()),
        )
        self.metrics = Metrics()
        self.stopping = False
        self.refusing = False
        self._stop_by_ms = 0.0
        self.timers = TimerService().register(self)
        self.client = HttpClient(self.timers).register(self)
        self.links = PeerLinks(
            self.timers,
            self.identity,
            settings.deployment_key,
            self.rng,
            self._peer_up,
            self._peer_message,
            self._peer_down,
        ).register(self)
        self.control = ControlShell(
            settings, self.identity, self.timers, self.links, self.client, self.rng
        ).register(self)
        self.control.on_config = self.config_changed
        self.control.on_members = self.members_changed
        self.control.on_superseded = self.stop_gracefully
        self._http = HttpServer(
            self.timers,
            self._request,
            (settings.ip, settings.http_port),
            _http_limits(settings),
        ).register(self)
        self.timers.on_pause(self._paused)
        log_event(
            "node-started",
            incarnation=self.identity.incarnation,
            failure_domain=self.identity.failure_domain,
            ip=settings.ip,
            peer_port=settings.peer_port,
            http_port=self._http.bound_port,
        )

    # For subclasses.

    def config_changed(self) -> None:
        """Follow a new register, rules or VM list."""

    def members_changed(self) -> None:
        """Follow a change among the nodes or the links to them."""

    def on_peer_up(self, peer: Peer) -> None:
        """Follow a new link.

        :param peer: the other node.
        """

    def on_peer_down(self, peer: Peer) -> None:
        """Follow the loss of a link; :meth:`members_changed` has run by then.

        :param peer: the other node.
        """

    def on_message(self, peer: Peer, message: Any) -> None:
        """Take a message that is not about configuration or membership.

        :param peer: its sender.
        :param message: the message.
        """

    def on_request(self, request: Request, responder: Responder) -> None:
        """Take a caller's request.

        :param request: the request.
        :param responder: answers it.
        """
        responder.answer(no_such_path(request))

    def on_pause(self, gap_ms: float) -> None:
        """Act on having been paused, before anything else.

        :param gap_ms: how long.
        """

    def on_refusing(self) -> None:
        """Follow the start of the refusal of new work in a graceful stop."""

    def open_work(self) -> int:
        """Count what a graceful stop waits for.

        :returns: requests in flight.
        """
        return 0

    def open_work_left_ms(self) -> float:
        """Say how long a graceful stop has to keep answering for what it handed out.

        :returns: milliseconds.
        """
        return 0.0

    def fill_metrics(self) -> None:
        """Fill the role's own gauges, just before the metrics are rendered."""

    def status(self) -> dict[str, Any]:
        """Describe the node for operators.

        :returns: plain data.
        """
        return {}

    # Operators' pages.

    def _request(self, request: Request, responder: Responder) -> None:
        page = _PAGES.get((request.method, request.path))
        if page is None:
            self.on_request(request, responder)
        else:
            responder.answer(page(self))

    def health_page(self) -> Response:
        """Say that the process runs.

        :returns: 200.
        """
        return Response(200, b'{"state":"alive"}')

    def ready_page(self) -> Response:
        """Say whether the balancer may send callers here.

        :returns: 200 or 503.
        """
        if self.stopping:
            return Response(503, b'{"state":"stopping"}')
        if not self.control.ready():
            return Response(503, b'{"state":"waiting for configuration"}')
        return Response(200, b'{"state":"ready"}')

    def metrics_page(self) -> Response:
        """Give the metrics.

        :returns: the text exposition.
        """
        self.control.fill(self.metrics)
        self.fill_metrics()
        return Response(200, self.metrics.render(), content_type=CONTENT_TYPE)

    def status_page(self) -> Response:
        """Give the status.

        :returns: JSON.
        """
        document = {
            "node": self.identity.name,
            "role": self.identity.role,
            "incarnation": self.identity.incarnation,
            "failure_domain": self.identity.failure_domain,
            "ready": self.control.ready() and not self.stopping,
            "stopping": self.stopping,
            "links": sorted(peer.name for peer in self.links.peers()),
            **self.control.status(),
            **self.status(),
            "summary": self.metrics.summary(),
        }
        return Response(200, orjson.dumps(document, default=str))

    # Links.

    def _peer_up(self, peer: Peer) -> None:
        log_event("link-up", peer=peer.name, incarnation=peer.incarnation)
        self.on_peer_up(peer)
        self.members_changed()

    def _peer_down(self, peer: Peer) -> None:
        log_event("link-down", peer=peer.name, incarnation=peer.incarnation)
        self.members_changed()
        self.on_peer_down(peer)

    def _peer_message(self, peer: Peer, message: Any) -> None:
        if not self.control.peer_message(peer, message):
            self.on_message(peer, message)

    def _paused(self, gap_ms: float) -> None:
        log_event("paused", gap_ms=round(gap_ms))
        self.control.paused(gap_ms)
        self.on_pause(gap_ms)

    # Stopping.

    @handler("signal", channel="*")
    def _on_signal(self, event: Any, number: int, stack: Any) -> None:
        event.stop()
        if number in (signal.SIGTERM, signal.SIGINT):
            self.stop_gracefully()

    def stop_gracefully(self) -> None:
        """Stop: not ready, wait for the balancer, refuse new work, finish what is open, exit."""
        if self.stopping:
            return
        self.stopping = True
        self._stop_by_ms = self.timers.now_ms() + self.settings.stop_grace_ms
        log_event("stop-started", open_work=self.open_work())
        self.control.leave()
        self.timers.after(self.settings.drain_wait_ms, self._refuse_new)

    def _refuse_new(self) -> None:
        self.refusing = True
        self.on_refusing()
        self._stop_when_done(was_done=False)

    def _stop_when_done(self, was_done: bool) -> None:
        now_ms = self.timers.now_ms()
        late = now_ms >= self._stop_by_ms
        answered = self._http.open_requests == 0 and self._http.unsent_bytes == 0
        done = answered and self.open_work() == 0 and self.open_work_left_ms() <= 0
        if late or (done and was_done):
            log_event("stopped", open_work=self.open_work(), late=late)
            self.stop()
            return
        if done:
            self._http.stop_listening()
        self.timers.after(_STOP_POLL_MS, lambda: self._stop_when_done(done))


_PAGES = {
    ("GET", "/healthz"): Node.health_page,
    ("GET", "/readyz"): Node.ready_page,
    ("GET", "/metrics"): Node.metrics_page,
    ("GET", "/v1/status"): Node.status_page,
}


def no_such_path(request: Request) -> Response:
    """Answer a request for what does not exist.

    :param request: the request.
    :returns: 404.
    """
    return error_response(
        404,
        "no-such-path",
        f"There is no {request.method} {request.path[:80]} here.",
        "See the callers' page for the interface.",
    )


def _http_limits(settings: NodeSettings) -> HttpLimits:
    return HttpLimits(
        header_bytes=settings.http_header_bytes,
        # A run's body is passed on to a relay in one frame.
        body_bytes=min(settings.http_body_bytes, MAX_FRAME_BODY_BYTES),
        connections=settings.http_connections,
        header_timeout_ms=settings.http_header_timeout_ms,
        body_timeout_ms=settings.http_body_timeout_ms,
        idle_timeout_ms=settings.http_idle_timeout_ms,
    )
