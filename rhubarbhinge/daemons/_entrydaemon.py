"""The entry: faces callers."""

from typing import Any

from rhubarbhinge import api
from rhubarbhinge.admission import Limiter
from rhubarbhinge.daemons._directpool import DirectPool
from rhubarbhinge.daemons._node import Node, no_such_path
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._relaydirectory import RelayDirectory
from rhubarbhinge.daemons._relayparts import relay_parts
from rhubarbhinge.daemons._runs import Runs
from rhubarbhinge.daemons._searches import Searches
from rhubarbhinge.daemons._switches import query_policy
from rhubarbhinge.settings import NodeSettings
from rhubarbhinge.web import Request, Responder, Response
from rhubarbhinge.wire import HoldingReport, ReplyBatch, UpstreamReport

#: Queries in flight before the rules are known; the rules' own limit replaces it.
_FIRST_IN_FLIGHT = 64
#: How often the owners of idempotency keys follow the platform's list.
_KEY_OWNERS_MS = 500.0
#: When a caller may come back to an entry that is not ready or is stopping.
_ELSEWHERE_RETRY_MS = 500


class EntryDaemon(Node):
    """Turns callers' requests into work for the cores, and their effects into answers.

    :param settings: the node's settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__(settings, "entry")
        self._directory = RelayDirectory(
            self.control.live_relays, self.control.alive_relays, self.links.peer
        )
        self._direct = self._direct_pool() if settings.pools == "direct" else None
        relay_of = self._directory.relay_of if self._direct is None else self._direct.relay_of
        early_refusal = "early-refusal" not in settings.switched_off
        self._searches = Searches(
            self.timers,
            self.control.config,
            relay_of,
            self._directory.is_expected,
            self._send_node,
            self.metrics,
            self.rng,
            query_policy(settings),
            Limiter(_FIRST_IN_FLIGHT, 1.0, self.rng, early_refusal),
        )
        self._runs = Runs(
            self.timers,
            self.control.config,
            self.identity,
            settings.deployment_key,
            relay_of,
            self._directory.is_expected,
            self._is_gone,
            self._searches.catalog,
            self._send_node,
            self.metrics,
            self.rng,
        )
        self.timers.every(_KEY_OWNERS_MS, self._follow_entries)

    def config_changed(self) -> None:
        """Follow a new register, rules or VM list."""
        self._searches.config_changed()
        self.members_changed()

    def members_changed(self) -> None:
        """Follow a change among the nodes or the links to them."""
        register = self.control.config.register
        if register is not None:
            self._directory.follow(register)
        if self._direct is not None and register is not None and self.control.ready():
            entries = sum(
                len(self.control.live_entries(domain)) for domain in register.failure_domains
            )
            self._direct.follow(register, self.control.config.leaving_instances, entries)

    def on_peer_up(self, peer: Peer) -> None:
        """Go on with what a relay or an entry was sent over an earlier link.

        :param peer: the node.
        """
        self._runs.on_link_up(peer)

    def on_peer_down(self, peer: Peer) -> None:
        """Act on the loss of a relay or an entry.

        :param peer: the node.
        """
        self._runs.on_link_lost(peer)
        if peer.role == "relay":
            self._searches.on_relay_lost(peer.name)

    def on_message(self, peer: Peer, message: Any) -> None:
        """Take answers and reports of relays, and tickets of other entries.

        :param peer: the sender.
        :param message: the message.
        """
        match message:
            case ReplyBatch():
                self._searches.on_reply(peer.name, message)
            case UpstreamReport():
                self._searches.on_report(message)
                self._runs.on_relay_clock(peer.name, message.relay_now_ms)
            case HoldingReport():
                self._searches.on_holding(message)
            case _:
                self._runs.on_message(peer.name, message)

    def on_request(self, request: Request, responder: Responder) -> None:
        """Take a caller's request.

        :param request: the request.
        :param responder: answers it.
        """
        ticket_given = request.path.startswith("/v1/run/")
        if not self._is_known(request):
            responder.answer(no_such_path(request))
        elif ticket_given:
            self._runs.start(request, responder)
        elif not self.control.ready():
            responder.answer(_elsewhere(request, "not-ready", "This entry is starting."))
        elif self.refusing:
            responder.answer(_elsewhere(request, "draining", "This entry is stopping."))
        elif request.path == "/v1/search":
            self._searches.start(request, responder)
        else:
            self._runs.start(request, responder)

    def on_refusing(self) -> None:
        """Give no more tickets."""
        self._runs.drain()

    def open_work(self) -> int:
        """Count what a graceful stop waits for.

        :returns: open searches and runs.
        """
        return self._searches.in_flight() + self._runs.in_flight()

    def open_work_left_ms(self) -> float:
        """Say how long tickets that are out may still be run.

        :returns: milliseconds.
        """
        return self._runs.open_left_ms() if self.refusing else 0.0

    def status(self) -> dict[str, Any]:
        """Describe the entry for operators.

        :returns: open work and limits.
        """
        return {
            "in_flight": self._searches.in_flight(),
            "limit": round(self._searches.limiter.limit, 1),
            "waiting_runs": self._runs.in_flight(),
            "searchers_announced": len(self._searches.catalog.announced()),
        }

    def _follow_entries(self) -> None:
        listed, confirmed_ms = self.control.listed_entries()
        if confirmed_ms is not None:
            self._runs.entries_listed(listed, confirmed_ms)

    def _is_gone(self, name: str, incarnation: int) -> bool:
        if name == self.identity.name:
            return False
        linked = self.links.peer(name)
        if linked is not None:
            return linked.incarnation != incarnation
        return not self.control.is_running(name, incarnation)

    def _send_node(self, node: str, message: Any) -> bool:
        if self._direct is not None and self._direct.send(node, message):
            return True
        return self.links.send(node, message)

    def _direct_pool(self) -> DirectPool:
        me = self.identity
        myself = Peer(me.name, me.role, me.failure_domain, me.incarnation)
        pool = DirectPool(relay_parts(self), lambda message: self.on_message(myself, message))
        self.links.on_turn_end(pool.flush)
        return pool

    @staticmethod
    def _is_known(request: Request) -> bool:
        if request.path in ("/v1/search", "/v1/run"):
            return request.method == "POST"
        return request.path.startswith("/v1/run/") and request.method in ("GET", "POST")


def _elsewhere(request: Request, code: str, message: str) -> Response:
    keyed = "idempotency-key" in request.headers
    told = "What became of earlier requests with this key is not known here." if keyed else ""
    fault = api.ApiError(
        503,
        code,
        f"{message} {told or 'The request was not run.'}",
        "Ask again; the balancer will choose another entry.",
        not_run=not keyed,
        retry_after_ms=_ELSEWHERE_RETRY_MS,
    )
    return api.error(fault)
