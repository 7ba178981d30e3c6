"""The relay: owns the connections to some of its failure domain's searchers."""

from typing import Any

from rhubarbhinge.daemons._node import Node
from rhubarbhinge.daemons._ownership import Ownership, leaving_upstreams
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._relayparts import relay_parts
from rhubarbhinge.daemons._relaywork import RelayWork
from rhubarbhinge.daemons._waker import Waker
from rhubarbhinge.settings import NodeSettings
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.wire import upstream_id

_OWNERSHIP_CHECK_MS = 1_000.0


class RelayDaemon(Node):
    """Works for the entries on the searchers that it owns.

    :param settings: the node's settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__(settings, "relay")
        me = self.identity
        slots_apply = "owner-queue" not in settings.switched_off
        self._ownership = Ownership(me.name, me.failure_domain, slots_apply)
        self._owned_names: tuple[str, ...] = ()
        self._work = RelayWork(relay_parts(self), self.links.send, self._publish, self.links.drop)
        self._ownership_waker = Waker(self.timers, self._follow_ownership, _OWNERSHIP_CHECK_MS)
        self.links.on_turn_end(self._work.flush)

    def config_changed(self) -> None:
        """Follow a new register, rules or VM list."""
        self._follow_ownership()

    def members_changed(self) -> None:
        """Follow a change among the relays."""
        self._follow_ownership()

    def on_peer_up(self, peer: Peer) -> None:
        """Tell a new entry all that is known of the searchers.

        :param peer: the entry.
        """
        if peer.role != "entry":
            return
        for report in self._work.core.holdings():
            self.links.send(peer.name, report)
        self.links.send(peer.name, self._work.core.load_report(self.timers.now_ms()))

    def on_peer_down(self, peer: Peer) -> None:
        """Drop the work of an entry that is gone.

        :param peer: the entry.
        """
        self._work.entry_gone(peer.name)

    def on_message(self, peer: Peer, message: Any) -> None:
        """Take work.

        :param peer: the entry.
        :param message: the message.
        """
        self._work.take(peer.name, message)

    def on_pause(self, gap_ms: float) -> None:
        """Expire what went past its deadline meanwhile, before anything is sent.

        Messages that waited in the links would look fresh: the links are closed with them, and the
        entries ask anew what they still want.

        :param gap_ms: how long the pause was.
        """
        self.links.drop_all("paused")
        self._work.tick()

    def open_work(self) -> int:
        """Count what a graceful stop waits for.

        :returns: queued and in-flight requests.
        """
        return self._work.open_work()

    def status(self) -> dict[str, Any]:
        """Describe the relay for operators.

        :returns: its searchers, with their states and loads.
        """
        return {**self._work.status(), "owned": self._owned_names}

    def fill_metrics(self) -> None:
        """Fill the gauges of drains, slots and queues."""
        register = self.control.config.register
        upstreams = register.upstreams if register is not None else ()
        systems = {upstream_id(upstream.name): upstream.system for upstream in upstreams}
        self._work.fill(self.metrics, systems)

    def _publish(self, report: Any) -> None:
        for peer in self.links.peers():
            if peer.role == "entry":
                self.links.send(peer.name, report)

    def _follow_ownership(self) -> None:
        config = self.control.config
        register = config.register
        if register is None or not self.control.ready():
            return
        now_ms = self.timers.now_ms()
        domain = self.identity.failure_domain
        live = self.control.live_relays(domain)
        alive = self.control.alive_relays(domain)
        owned = self._ownership.owned(register, live, alive, now_ms)
        names = tuple(spec.name for spec in owned)
        if names != self._owned_names:
            log_event("ownership-changed", searchers=len(names), relays=len(live))
            self._owned_names = names
        leaving = leaving_upstreams(register, config.leaving_instances)
        self._work.own(register.revision, owned, leaving)
        due_ms = self._ownership.next_change_ms(now_ms)
        if due_ms is not None:
            self._ownership_waker.wake_by(due_ms)
