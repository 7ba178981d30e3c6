"""Runs on their way to relays: the relay chosen, links waited for, messages repeated."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from rhubarbhinge import api
from rhubarbhinge.daemons._configview import ConfigView
from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.once import OnceSettings, OutcomeKind, SendPermit, SentRuns, StartRun, kind_of
from rhubarbhinge.query import Catalog, RelayTarget
from rhubarbhinge.register import Action
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.wire import RunReply, RunRequest, upstream_id

#: A relay does not send a run later than this before its entry gives it up.
_SEND_MARGIN_MS = 1_000
#: Longest wait for the link to a relay before a run is refused.
_LINK_WAIT_MS = 3_000
#: When to come back while no relay or upstream for the action can be reached.
_TARGET_RETRY_MS = 1_000

RelayOf = Callable[[int], RelayTarget | None]
IsExpected = Callable[[int], bool]
IsGone = Callable[[str, int], bool]
Send = Callable[[str, object], bool]
#: Asked with a ticket just before its run leaves.
AskPermit = Callable[[str], SendPermit]
#: Told a ticket, what is known, the upstream's result, and when to come back in ms.
OnEnded = Callable[[str, OutcomeKind, bytes, int], None]


@dataclass(frozen=True, slots=True)
class _WaitingRun:
    run: StartRun
    give_up_ms: int


class RelayRuns:
    """The runs that one entry has started and has no result of.

    :param timers: the timer service.
    :param config: the configuration in force.
    :param identity: this entry.
    :param relay_of: gives an upstream's relay.
    :param is_expected: tells whether an upstream without a relay will have one again soon.
    :param is_gone: tells, by name and incarnation, whether a node's process has ended as far as is
        known, and is not just without a link.
    :param catalog: which upstreams take work.
    :param send: sends a message to a node.
    :param rng: source of random choices.
    :param ask_permit: gives the permit to send.
    :param on_ended: told what came of each run, once.
    """

    def __init__(
        self,
        timers: TimerService,
        config: ConfigView,
        identity: Identity,
        relay_of: RelayOf,
        is_expected: IsExpected,
        is_gone: IsGone,
        catalog: Catalog,
        send: Send,
        rng: random.Random,
        ask_permit: AskPermit,
        on_ended: OnEnded,
    ) -> None:
        self._timers = timers
        self._config = config
        self._identity = identity
        self._relay_of = relay_of
        self._is_expected = is_expected
        self._is_gone = is_gone
        self._catalog = catalog
        self._send = send
        self._rng = rng
        self._ask_permit = ask_permit
        self._on_ended = on_ended
        self._keep_ms = OnceSettings().lifetime_ms
        self._sent = SentRuns()
        self._waiting: list[_WaitingRun] = []
        self._clock_ahead_ms: dict[str, int] = {}

    def start(self, run: StartRun) -> None:
        """Send a run, or let it wait for the link to a relay.

        :param run: the run; its ticket is consumed.
        """
        target = self._target(run.action)
        if target is not None:
            self._send_run(run, *target)
        elif self._may_have_target(run.action):
            log_event("run-waits", ticket_hash=_ticket_hash(run.ticket), action=run.action)
            self._waiting.append(_WaitingRun(run, self._now_ms() + _LINK_WAIT_MS))
        else:
            self._refuse(run.ticket)

    def on_reply(self, peer: str, reply: RunReply) -> None:
        """Take a relay's answer; one that is not about an open run is passed over.

        :param peer: the relay's node name.
        :param reply: the message.
        """
        mine = reply.entry_incarnation == self._identity.incarnation
        if mine and self._sent.finish(reply.ticket, peer):
            kind = kind_of(reply.kind) or OutcomeKind.UNKNOWN
            self._end(reply.ticket, kind, reply.result, reply.retry_after_ms)

    def on_clock(self, relay: str, relay_now_ms: int) -> None:
        """Take a reading of a relay's clock.

        The reading is older than its arrival, so that a deadline stated by it is never too late.

        :param relay: its node name.
        :param relay_now_ms: its clock when it sent the reading.
        """
        is_first = relay not in self._clock_ahead_ms
        self._clock_ahead_ms[relay] = relay_now_ms - self._now_ms()
        if is_first:
            self._retry_waiting()

    def on_link_up(self, peer: Peer) -> None:
        """Send a relay again what it may not have got, or not have answered, over an earlier link.

        :param peer: the relay.
        """
        for request in self._sent.of_relay(peer.name, peer.incarnation):
            log_event("run-repeated", ticket_hash=_ticket_hash(request.ticket), relay=peer.name)
            self._send(peer.name, request)

    def on_link_lost(self, peer: Peer) -> None:
        """Forget a relay's clock until it has told it again.

        :param peer: the relay.
        """
        self._clock_ahead_ms.pop(peer.name, None)

    def give_up_gone(self) -> None:
        """End as unknown the runs that were sent to processes that are gone."""
        for relay, incarnation in self._sent.relays():
            if self._is_gone(relay, incarnation):
                for request in self._sent.of_relay(relay, incarnation):
                    self._sent.finish(request.ticket, relay)
                    self._end(request.ticket, OutcomeKind.UNKNOWN, b"", 0)

    def tick(self) -> None:
        """Try waiting runs again, and forget those whose result is no longer kept."""
        self._sent.remove_expired(self._now_ms())
        self._retry_waiting()

    def _now_ms(self) -> int:
        return int(self._timers.now_ms())

    def _retry_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            target = self._target(each.run.action)
            if target is not None:
                self._send_run(each.run, *target)
            elif self._now_ms() < each.give_up_ms and self._may_have_target(each.run.action):
                self._waiting.append(each)
            else:
                self._refuse(each.run.ticket)

    def _send_run(self, run: StartRun, number: int, relay: RelayTarget) -> None:
        relay_deadline_ms = run.deadline_ms + self._clock_ahead_ms[relay.name] - _SEND_MARGIN_MS
        message = RunRequest(
            self._identity.name,
            self._identity.incarnation,
            relay.name,
            relay.incarnation,
            run.ticket,
            run.action,
            api.action_fields(run.body),
            relay_deadline_ms,
            number,
        )
        if not self._ask_permit(run.ticket).send:
            return
        self._sent.add(message, run.deadline_ms + self._keep_ms)
        log_event(
            "run-sent", ticket_hash=_ticket_hash(run.ticket), action=run.action, relay=relay.name
        )
        if not self._send(relay.name, message):
            self._sent.finish(run.ticket, relay.name)
            self._refuse(run.ticket)

    def _target(self, action: str) -> tuple[int, RelayTarget] | None:
        numbers = self._usable_upstreams(action)
        self._rng.shuffle(numbers)
        for number in numbers:
            relay = self._relay_of(number)
            if relay is not None and relay.name in self._clock_ahead_ms:
                return number, relay
        return None

    def _may_have_target(self, action: str) -> bool:
        """Tell whether a usable upstream lacks only the link to a relay, or its first report."""
        return any(
            self._relay_of(number) is not None or self._is_expected(number)
            for number in self._usable_upstreams(action)
        )

    def _usable_upstreams(self, action: str) -> list[int]:
        known: Action | None = self._config.register.action(action)
        numbers = [upstream_id(name) for name in known.upstreams] if known else []
        return [number for number in numbers if self._catalog.is_usable(number)]

    def _refuse(self, ticket: str) -> None:
        self._end(ticket, OutcomeKind.REFUSED_NOT_RUN, b"", _TARGET_RETRY_MS)

    def _end(self, ticket: str, kind: OutcomeKind, result: bytes, retry_after_ms: int) -> None:
        log_event("run-ended", ticket_hash=_ticket_hash(ticket), outcome=kind.value)
        self._on_ended(ticket, kind, result, retry_after_ms)


def _ticket_hash(ticket: str) -> str:
    return xxhash.xxh64_hexdigest(ticket.encode())
