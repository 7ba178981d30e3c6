"""What a relay does for entries: takes their work, carries it out, answers."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from rhubarbhinge.daemons._poolshell import PoolOutput, PoolShell
from rhubarbhinge.daemons._relayparts import RelayParts
from rhubarbhinge.daemons._replyoutbox import ReplyOutbox
from rhubarbhinge.once import OnceSettings, RunDeduplicator, RunResults
from rhubarbhinge.routing import (
    DropPeer,
    PublishHolding,
    PublishLoad,
    RelayCore,
    Reply,
    RunResult,
    UpstreamSpec,
)
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.wire import CancelBatch, RunRequest, SubBatch, UpstreamState

#: Told with answers that are given before the first register; revisions of registers are larger.
_NO_REVISION = 0


class RelayWork:
    """Turns entries' messages into work for the relay core, and its effects into messages.

    It runs in the relay, and in each entry where entries hold the connections themselves.

    :param parts: parts of the node.
    :param send: sends a message to an entry.
    :param publish: sends a report to every entry.
    :param drop: closes the link to an entry that broke the protocol.
    """

    def __init__(
        self,
        parts: RelayParts,
        send: Callable[[str, Any], Any],
        publish: Callable[[Any], None],
        drop: Callable[[str, str], None],
    ) -> None:
        self._timers = parts.timers
        identity = parts.identity
        self._send = send
        self._publish = publish
        self._drop = drop
        once = OnceSettings()
        self._deduplicator = RunDeduplicator(
            identity.name,
            identity.incarnation,
            once.lifetime_ms + once.keep_ms,
            once.most_tickets,
        )
        self._results = RunResults(once.lifetime_ms)
        self._outbox = ReplyOutbox()
        core = RelayCore(identity.incarnation, parts.policy, parts.rng)
        self._pool = PoolShell(parts.timers, core, parts.connections, parts.client, self._output)
        self._takers = {SubBatch: self._batch, CancelBatch: self._cancel, RunRequest: self._run}

    @property
    def core(self) -> RelayCore:
        """Give the decisions.

        :returns: the core.
        """
        return self._pool.core

    def take(self, entry: str, message: Any) -> bool:
        """Take an entry's message.

        :param entry: its node name.
        :param message: the message.
        :returns: whether it is work for a relay.
        """
        taker = self._takers.get(type(message))
        if taker is not None:
            taker(entry, message)
        return taker is not None

    def entry_gone(self, entry: str) -> None:
        """Drop the work of an entry that is gone.

        :param entry: its node name.
        """
        self._pool.carry_out(self.core.on_peer_gone(entry, self._timers.now_ms()))
        for ticket in self._results.open_tickets(entry):
            if not self.core.knows_ticket(ticket):
                self._deduplicator.withdraw(ticket)
                self._results.withdraw(ticket)

    def own(
        self, register_revision: int, specs: tuple[UpstreamSpec, ...], leaving: frozenset[int]
    ) -> None:
        """Follow what is owned, and which searchers are on VMs that leave.

        :param register_revision: the register that it comes from.
        :param specs: the searchers.
        :param leaving: searchers on leaving VMs, owned or not.
        """
        now_ms = self._timers.now_ms()
        self._pool.carry_out(self.core.set_upstreams(register_revision, specs, now_ms))
        self._pool.carry_out(self.core.set_leaving(leaving, now_ms))

    def tick(self) -> None:
        """Let the core do what is due."""
        self._pool.tick()

    def flush(self) -> None:
        """Send the answers of this loop turn, and set the core's timer."""
        for entry, batch in self._outbox.flush(max(_NO_REVISION, self.core.register_revision)):
            self._send(entry, batch)
        self._pool.turn_ended()

    def open_work(self) -> int:
        """Count what a graceful stop waits for.

        :returns: queued and in-flight requests.
        """
        return self.core.open_work()

    def status(self) -> dict[str, Any]:
        """Describe the work for operators.

        :returns: counts of searchers, queues and slots.
        """
        report = self.core.load_report(self._timers.now_ms())
        return {
            "searchers": len(report.upstream_ids),
            "queued": sum(report.queued),
            "in_flight": sum(report.in_flight),
            "slots": sum(report.slots),
            "states": {
                UpstreamState(state).name.lower(): report.states.count(state)
                for state in sorted(set(report.states))
            },
        }

    def fill(self, metrics: Metrics, system_of: Mapping[int, str]) -> None:
        """Fill the gauges of drains, slots and queues.

        :param metrics: the node's metrics.
        :param system_of: names of the searchers' systems.
        """
        report = self.core.load_report(self._timers.now_ms())
        in_use: Counter[str] = Counter()
        total: Counter[str] = Counter()
        rows = zip(report.upstream_ids, report.in_flight, report.slots, strict=True)
        for upstream_id, in_flight, slots in rows:
            system = system_of.get(upstream_id, "")
            in_use[system] += in_flight
            total[system] += slots
        for system, slots in total.items():
            metrics.set_slots(system, in_use[system], slots)
        metrics.set_drains(report.states.count(UpstreamState.DRAINING))
        metrics.set_queue_length("all", sum(report.queued))

    # Messages.

    def _batch(self, entry: str, batch: SubBatch) -> None:
        self._pool.carry_out(self.core.on_batch(entry, batch, self._timers.now_ms()))

    def _cancel(self, entry: str, batch: CancelBatch) -> None:
        self._pool.carry_out(self.core.on_cancel(entry, batch, self._timers.now_ms()))

    def _run(self, entry: str, request: RunRequest) -> None:
        known = self._results.result_of(request)
        if known is not None:
            self._send(entry, known)
        elif not self._results.is_open(request):
            self._new_run(entry, request)

    def _new_run(self, entry: str, request: RunRequest) -> None:
        now_ms = self._timers.now_ms()
        refusal = self._deduplicator.on_request(request, int(now_ms))
        if refusal is not None:
            self._send(entry, refusal)
            return
        self._results.begin(request, int(now_ms))
        effects = self.core.on_run(
            entry,
            request.ticket,
            request.upstream_id,
            request.action,
            request.body,
            request.relay_deadline_ms - int(now_ms),
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
            case DropPeer(entry, code):
                self._drop(entry, code)

    def _run_ended(self, result: RunResult) -> None:
        kind = str(result.kind.value)
        retry_after_ms = int(result.retry_after_ms)
        reply = self._results.end(result.ticket, kind, result.payload, retry_after_ms)
        self._send(result.peer, reply)
