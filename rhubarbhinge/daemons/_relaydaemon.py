"""The relay: owns the connections to some of its failure domain's searchers."""

from typing import Any

from rhubarbhinge.daemons._node import Node
from rhubarbhinge.daemons._ownership import Ownership, leaving_upstreams
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._poolshell import PoolOutput, PoolShell
from rhubarbhinge.daemons._replyoutbox import ReplyOutbox
from rhubarbhinge.daemons._waker import Waker
from rhubarbhinge.once import OnceSettings, RunGuard
from rhubarbhinge.routing import (
    DropPeer,
    PublishHolding,
    PublishLoad,
    RelayCore,
    RelayPolicy,
    Reply,
    RunResult,
)
from rhubarbhinge.settings import NodeSettings
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.web import HttpConnections
from rhubarbhinge.wire import CancelBatch, RunReply, RunRequest, SubBatch

_OWNERSHIP_CHECK_MS = 1_000.0


class RelayDaemon(Node):
    """Turns messages of entries into work for the relay core, and its effects into messages.

    :param settings: the node's settings.
    :param policy: settings of the core.
    """

    def __init__(self, settings: NodeSettings, policy: RelayPolicy | None = None) -> None:
        super().__init__(settings, "relay")
        once = OnceSettings()
        window_ms = once.lifetime_ms + once.keep_ms
        me = self.identity
        self._guard = RunGuard(me.name, me.incarnation, window_ms, once.most_tickets)
        self._run_entries: dict[str, int] = {}
        self._ownership = Ownership(me.name, me.failure_domain)
        self._owned_names: tuple[str, ...] = ()
        self._outbox = ReplyOutbox()
        core = RelayCore(me.incarnation, policy or RelayPolicy(), self.rng)
        self._pool = PoolShell(
            self.timers,
            core,
            lambda *callbacks: HttpConnections(self.timers, *callbacks).register(self),
            self.client,
            self._output,
        )
        self._ownership_waker = Waker(self.timers, self._follow_ownership, _OWNERSHIP_CHECK_MS)
        self.links.on_turn_end(self._flush_replies)
        self._messages = {SubBatch: self._batch, CancelBatch: self._cancel, RunRequest: self._run}

    def config_changed(self) -> None:
        """Follow a new register, rules or VM list."""
        self._follow_ownership()
        config = self.control.config
        if config.register is not None:
            leaving = leaving_upstreams(config.register, config.leaving_instances)
            core = self._pool.core
            self._pool.carry_out(core.set_leaving(leaving, self.timers.now_ms()))

    def members_changed(self) -> None:
        """Follow a change among the relays."""
        self._follow_ownership()

    def on_peer_up(self, peer: Peer) -> None:
        """Tell a new entry all that is known of the searchers.

        :param peer: the entry.
        """
        if peer.role != "entry":
            return
        core = self._pool.core
        for report in core.holdings():
            self.links.send(peer.name, report)
        self.links.send(peer.name, core.reports(self.timers.now_ms()))

    def on_peer_down(self, peer: Peer) -> None:
        """Drop the work of an entry that is gone.

        :param peer: the entry.
        """
        core = self._pool.core
        self._pool.carry_out(core.on_peer_gone(peer.name, self.timers.now_ms()))

    def on_message(self, peer: Peer, message: Any) -> None:
        """Take work.

        :param peer: the entry.
        :param message: the message.
        """
        take = self._messages.get(type(message))
        if take is not None:
            take(peer, message)

    def on_pause(self, gap_ms: float) -> None:
        """Expire what went past its deadline meanwhile, before anything is sent.

        :param gap_ms: how long the pause was.
        """
        self._pool.tick()

    def open_work(self) -> int:
        """Count what a graceful stop waits for.

        :returns: queued and in-flight requests.
        """
        report = self._pool.core.reports(self.timers.now_ms())
        return sum(report.queued) + sum(report.in_flight)

    def status(self) -> dict[str, Any]:
        """Describe the relay for operators.

        :returns: its searchers, with their states and loads.
        """
        report = self._pool.core.reports(self.timers.now_ms())
        return {
            "searchers": len(report.upstream_ids),
            "queued": sum(report.queued),
            "in_flight": sum(report.in_flight),
            "slots": sum(report.slots),
            "states": {str(state): report.states.count(state) for state in set(report.states)},
            "owned": self._owned_names,
        }

    # Messages.

    def _batch(self, peer: Peer, batch: SubBatch) -> None:
        core = self._pool.core
        self._pool.carry_out(core.on_batch(peer.name, batch, self.timers.now_ms()))

    def _cancel(self, peer: Peer, batch: CancelBatch) -> None:
        core = self._pool.core
        self._pool.carry_out(core.on_cancel(peer.name, batch, self.timers.now_ms()))

    def _run(self, peer: Peer, request: RunRequest) -> None:
        now_ms = self.timers.now_ms()
        refusal = self._guard.on_request(request, int(now_ms))
        if refusal is not None:
            self.links.send(peer.name, refusal)
            return
        self._run_entries[request.ticket] = request.entry_incarnation
        core = self._pool.core
        effects = core.on_run(
            peer.name,
            request.ticket,
            request.upstream_id,
            request.action,
            request.body,
            int(now_ms) + request.budget_ms,
            now_ms,
        )
        self._pool.carry_out(effects)

    # Effects.

    def _output(self, effect: PoolOutput) -> None:
        match effect:
            case Reply():
                self._outbox.add(effect)
            case RunResult():
                self._run_ended(effect)
            case PublishHolding(report) | PublishLoad(report):
                self._publish(report)
            case DropPeer(peer, code):
                self.links.drop(peer, code)

    def _run_ended(self, result: RunResult) -> None:
        incarnation = self._run_entries.pop(result.ticket, 0)
        kind = str(result.kind.value)
        retry_after_ms = int(result.retry_after_ms)
        reply = RunReply(incarnation, result.ticket, kind, "", retry_after_ms, result.payload)
        self.links.send(result.peer, reply)

    def _publish(self, report: Any) -> None:
        for peer in self.links.peers():
            if peer.role == "entry":
                self.links.send(peer.name, report)

    def _flush_replies(self) -> None:
        for peer, batch in self._outbox.flush(self._pool.core.register_revision):
            self.links.send(peer, batch)

    # Ownership.

    def _follow_ownership(self) -> None:
        register = self.control.config.register
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
        core = self._pool.core
        self._pool.carry_out(core.set_upstreams(register.revision, owned, now_ms))
        due_ms = self._ownership.next_change_ms(now_ms)
        if due_ms is not None:
            self._ownership_waker.wake_by(due_ms)
