"""Callers' requests that must not repeat: tickets, their runs, their outcomes."""

import itertools
import random
from collections.abc import Callable
from typing import Any

import xxhash

from rhubarbhinge import api
from rhubarbhinge.daemons._configview import ConfigView
from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.once import (
    AnswerOutcome,
    AnswerRedirect,
    Effect,
    Forward,
    KeyBook,
    OnceSettings,
    Outcome,
    OutcomeKind,
    ReplyForward,
    SendClaim,
    Signer,
    StartRun,
    TicketBook,
    kind_of,
)
from rhubarbhinge.query import Catalog, RelayTarget
from rhubarbhinge.register import Action
from rhubarbhinge.telemetry import Metrics, log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Request, Responder
from rhubarbhinge.wire import (
    KeyClaim,
    KeyClaimReply,
    RunReply,
    RunRequest,
    TicketForward,
    TicketForwardReply,
    upstream_id,
)

_TICK_MS = 100.0
#: A relay does not send a run later than this before its entry gives it up.
_SEND_MARGIN_MS = 1_000
_TICKET_PREFIX = "/v1/run/"
#: Longest idempotency key: far above a UUID.
_MOST_KEY_CHARACTERS = 200

_RelayOf = Callable[[int], RelayTarget | None]
_Send = Callable[[str, object], bool]


class Runs:
    """The runs of one entry.

    :param timers: the timer service.
    :param config: the configuration in force.
    :param identity: this entry.
    :param key: the deployment key.
    :param relay_of: gives an upstream's relay.
    :param catalog: which upstreams take work.
    :param send: sends a message to a node.
    :param metrics: counts.
    :param rng: source of random choices.
    """

    def __init__(
        self,
        timers: TimerService,
        config: ConfigView,
        identity: Identity,
        key: bytes,
        relay_of: _RelayOf,
        catalog: Catalog,
        send: _Send,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._timers = timers
        self._config = config
        self._identity = identity
        self._relay_of = relay_of
        self._catalog = catalog
        self._send = send
        self._metrics = metrics
        self._rng = rng
        settings = OnceSettings()
        signer = Signer(key, identity.name, identity.incarnation)
        self._keys = KeyBook(identity.name, identity.incarnation, settings, self._now_ms())
        self._book = TicketBook(signer, self._keys, settings)
        self._open: dict[int, tuple[Responder, str]] = {}
        self._relay_by_ticket: dict[str, str] = {}
        self._clock_ahead_ms: dict[str, int] = {}
        self._numbers = itertools.count(1)
        timers.every(_TICK_MS, self._tick)

    def in_flight(self) -> int:
        """Count callers that wait.

        :returns: their number.
        """
        return len(self._open)

    def entries_listed(self, entries: frozenset[str], confirmed_ms: int) -> None:
        """Follow the platform's list of entries, on each change and each confirmation.

        All entries of the deployment share the keys, so that a key that is shown in another
        failure domain is still the same key.

        :param entries: names of all listed entries.
        :param confirmed_ms: when the list was last confirmed, on this entry's clock.
        """
        self._keys.on_entries(entries, confirmed_ms, self._now_ms())

    def start(self, request: Request, responder: Responder) -> None:
        """Take ``/v1/run`` or ``/v1/run/<ticket>``.

        :param request: the request.
        :param responder: answers it.
        """
        ticket = request.path.removeprefix(_TICKET_PREFIX)
        if request.path == "/v1/run" and request.method == "POST":
            self._mint(request, responder)
        elif request.method == "POST":
            number = self._number(responder, ticket)
            self._carry_out(self._book.on_run(number, ticket, request.body, self._now_ms()))
        else:
            number = self._number(responder, ticket)
            self._carry_out(self._book.on_read(number, ticket, self._now_ms()))

    def on_message(self, peer: str, message: Any) -> bool:
        """Take a message about tickets or keys.

        :param peer: its sender's node name.
        :param message: the message.
        :returns: whether it was one.
        """
        now_ms = self._now_ms()
        match message:
            case RunReply():
                self._run_ended(peer, message)
            case TicketForward():
                self._carry_out(self._book.on_forwarded(message, now_ms))
            case TicketForwardReply():
                self._carry_out(self._book.on_forward_result(message, now_ms))
            case KeyClaim():
                self._send(peer, self._book.on_key_claim(message, now_ms))
            case KeyClaimReply():
                self._carry_out(self._book.on_key_reply(message, now_ms))
            case _:
                return False
        return True

    def on_peer_gone(self, peer: Peer) -> None:
        """Answer what depended on a node that is gone.

        :param peer: the node.
        """
        now_ms = self._now_ms()
        self._clock_ahead_ms.pop(peer.name, None)
        self._carry_out(self._book.on_peer_gone(peer.name, peer.incarnation, now_ms))
        lost = [ticket for ticket, relay in self._relay_by_ticket.items() if relay == peer.name]
        for ticket in lost:
            del self._relay_by_ticket[ticket]
            self._ended(ticket, OutcomeKind.UNKNOWN, b"", 0)

    def on_relay_clock(self, relay: str, relay_now_ms: int) -> None:
        """Take a reading of a relay's clock.

        The reading is older than its arrival, so that a deadline stated by it is never too late.

        :param relay: its node name.
        :param relay_now_ms: its clock when it sent the reading.
        """
        self._clock_ahead_ms[relay] = relay_now_ms - self._now_ms()

    def drain(self) -> None:
        """Stop minting."""
        report = self._book.drain(self._now_ms())
        log_event(
            "drain-started",
            unused=report.unused,
            running=report.running,
            forwards=report.forwards,
            open_ms=report.open_ms,
        )

    def open_left_ms(self) -> float:
        """Say how long tickets that are out can still be run or are running.

        :returns: milliseconds.
        """
        return self._book.drain(self._now_ms()).open_ms

    def _now_ms(self) -> int:
        return int(self._timers.now_ms())

    def _number(self, responder: Responder, ticket: str) -> int:
        number = next(self._numbers)
        self._open[number] = (responder, ticket)
        responder.on_abandoned(lambda: self._open.pop(number, None))
        return number

    def _mint(self, request: Request, responder: Responder) -> None:
        command = api.parse_run(request.body, self._config.register)
        key = request.headers.get("idempotency-key")
        if isinstance(command, api.RunCommand) and key is not None:
            command = _checked_key(command, key)
        if isinstance(command, api.ApiError):
            self._metrics.count_refusal(command.code)
            responder.answer(api.error(command))
            return
        tenant_key = None if key is None else f"{self._config.register.tenant}:{key}"
        number = self._number(responder, "")
        minted = self._book.on_mint(
            number, command.action, command.body, tenant_key, self._now_ms()
        )
        self._carry_out(minted)

    # Effects.

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case AnswerRedirect(number, ticket, expires_in_ms):
                    self._answer(number, api.redirect(ticket, expires_in_ms))
                case AnswerOutcome(number, outcome):
                    self._answer_outcome(number, outcome)
                case StartRun():
                    self._start_run(effect)
                case Forward(_, owner, message):
                    if not self._send(owner, message):
                        incarnation = message.owner_incarnation
                        gone = self._book.on_peer_gone(owner, incarnation, self._now_ms())
                        self._carry_out(gone)
                case ReplyForward(entry, message):
                    self._send(entry, message)
                case SendClaim(entry, message):
                    self._claim(entry, message)

    def _answer(self, number: int, response: Any) -> None:
        responder, _ = self._open.pop(number, (None, ""))
        if responder is not None:
            responder.answer(response)

    def _answer_outcome(self, number: int, outcome: Outcome) -> None:
        _, ticket = self._open.get(number, (None, ""))
        self._metrics.count_run(outcome.kind.value)
        self._answer(number, api.outcome(outcome, ticket))

    def _claim(self, entry: str, claim: KeyClaim) -> None:
        now_ms = self._now_ms()
        if entry == self._identity.name:
            reply = self._book.on_key_claim(claim, now_ms)
            self._carry_out(self._book.on_key_reply(reply, now_ms))
        elif not self._send(entry, claim):
            self._carry_out(self._book.on_peer_gone(entry, 0, now_ms))

    def _start_run(self, run: StartRun) -> None:
        target = self._target(run.action)
        if target is None:
            self._ended(run.ticket, OutcomeKind.REFUSED_NOT_RUN, b"", _TARGET_RETRY_MS)
            return
        number, relay = target
        relay_deadline_ms = run.deadline_ms + self._clock_ahead_ms[relay.name] - _SEND_MARGIN_MS
        body = api.run_fields(run.body)
        now_ms = self._now_ms()
        permit = self._book.on_send(run.ticket, now_ms)
        if not permit.send:
            self._carry_out(list(permit.effects))
            return
        message = RunRequest(
            self._identity.name,
            self._identity.incarnation,
            relay.name,
            relay.incarnation,
            run.ticket,
            run.action,
            body,
            relay_deadline_ms,
            number,
        )
        self._relay_by_ticket[run.ticket] = relay.name
        log_event(
            "run-sent", ticket_hash=_ticket_hash(run.ticket), action=run.action, relay=relay.name
        )
        if not self._send(relay.name, message):
            del self._relay_by_ticket[run.ticket]
            self._ended(run.ticket, OutcomeKind.REFUSED_NOT_RUN, b"", _TARGET_RETRY_MS)

    def _target(self, action: str) -> tuple[int, RelayTarget] | None:
        known: Action | None = self._config.register.action(action)
        numbers = [upstream_id(name) for name in known.upstreams] if known else []
        self._rng.shuffle(numbers)
        for number in numbers:
            relay = self._relay_of(number)
            reachable = relay is not None and relay.name in self._clock_ahead_ms
            if reachable and self._catalog.usable(number):
                return number, relay
        return None

    def _run_ended(self, peer: str, reply: RunReply) -> None:
        mine = reply.entry_incarnation == self._identity.incarnation
        if not mine or self._relay_by_ticket.get(reply.ticket) != peer:
            return
        del self._relay_by_ticket[reply.ticket]
        kind = kind_of(reply.kind) or OutcomeKind.UNKNOWN
        self._ended(reply.ticket, kind, reply.result, reply.retry_after_ms)

    def _ended(self, ticket: str, kind: OutcomeKind, result: bytes, retry_after_ms: int) -> None:
        log_event("run-ended", ticket_hash=_ticket_hash(ticket), outcome=kind.value)
        ended = self._book.on_upstream(ticket, kind, result, retry_after_ms, self._now_ms())
        self._carry_out(ended)

    def _tick(self) -> None:
        self._carry_out(self._book.tick(self._now_ms()))


#: When to come back while no relay or upstream for the action can be reached.
_TARGET_RETRY_MS = 1_000


def _ticket_hash(ticket: str) -> str:
    return xxhash.xxh64_hexdigest(ticket.encode())


def _checked_key(command: api.RunCommand, key: str) -> api.RunCommand | api.ApiError:
    if 0 < len(key) <= _MOST_KEY_CHARACTERS and key.isprintable():
        return command
    return api.ApiError(
        400,
        "bad-key",
        f"Idempotency-Key has to be 1 to {_MOST_KEY_CHARACTERS} printable characters.",
        "Send a UUID, for example.",
    )
