"""Callers' requests that must not repeat: tickets, their runs, their outcomes."""

import itertools
import random
from typing import Any

from rhubarbhinge import api
from rhubarbhinge.daemons._configview import ConfigView
from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._relayruns import IsExpected, IsGone, RelayOf, RelayRuns, Send
from rhubarbhinge.once import (
    AnswerOutcome,
    AnswerRedirect,
    Effect,
    IdempotencyKeys,
    OnceSettings,
    Outcome,
    OutcomeKind,
    SendClaim,
    SendForward,
    SendForwardReply,
    SendPermit,
    Signer,
    StartRun,
    TicketService,
)
from rhubarbhinge.query import Catalog
from rhubarbhinge.telemetry import Metrics, log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Request, Responder
from rhubarbhinge.wire import (
    KeyClaim,
    KeyClaimReply,
    RunReply,
    TicketForward,
    TicketForwardReply,
)

_TICK_MS = 100.0
_TICKET_PREFIX = "/v1/run/"
#: Longest idempotency key: far above a UUID.
_MOST_KEY_CHARACTERS = 200


class Runs:
    """The runs of one entry.

    :param timers: the timer service.
    :param config: the configuration in force.
    :param identity: this entry.
    :param key: the deployment key.
    :param relay_of: gives an upstream's relay.
    :param is_expected: tells whether an upstream without a relay will have one again soon.
    :param is_gone: tells, by name and incarnation, whether a node's process has ended as far as is
        known, and is not just without a link.
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
        relay_of: RelayOf,
        is_expected: IsExpected,
        is_gone: IsGone,
        catalog: Catalog,
        send: Send,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._timers = timers
        self._config = config
        self._identity = identity
        self._is_gone = is_gone
        self._send = send
        self._metrics = metrics
        settings = OnceSettings()
        signer = Signer(key, identity.name, identity.incarnation)
        self._keys = IdempotencyKeys(identity.name, identity.incarnation, settings, self._now_ms())
        self._tickets = TicketService(signer, self._keys, settings)
        self._open: dict[int, tuple[Responder, str]] = {}
        self._relay_runs = RelayRuns(
            timers,
            config,
            identity,
            relay_of,
            is_expected,
            is_gone,
            catalog,
            send,
            rng,
            self._ask_permit,
            self._ended,
        )
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
            self._carry_out(self._tickets.on_run(number, ticket, request.body, self._now_ms()))
        else:
            number = self._number(responder, ticket)
            self._carry_out(self._tickets.on_read(number, ticket, self._now_ms()))

    def on_message(self, peer: str, message: Any) -> bool:
        """Take a message about tickets or keys.

        :param peer: its sender's node name.
        :param message: the message.
        :returns: whether it was one.
        """
        now_ms = self._now_ms()
        match message:
            case RunReply():
                self._relay_runs.on_reply(peer, message)
            case TicketForward():
                self._carry_out(self._tickets.on_forwarded(message, now_ms))
            case TicketForwardReply():
                self._carry_out(self._tickets.on_forward_result(message, now_ms))
            case KeyClaim():
                self._send(peer, self._tickets.on_key_claim(message, now_ms))
            case KeyClaimReply():
                self._carry_out(self._tickets.on_key_reply(message, now_ms))
            case _:
                return False
        return True

    def on_link_lost(self, peer: Peer) -> None:
        """Answer what depended on a node that is gone; what a running one was sent waits for it.

        :param peer: the node.
        """
        self._relay_runs.on_link_lost(peer)
        self._carry_out(self._tickets.on_link_lost(peer.name, self._now_ms()))
        self._give_up_gone()

    def on_link_up(self, peer: Peer) -> None:
        """Send a node again what it may not have got, or not have answered, over an earlier link.

        :param peer: the node.
        """
        self._relay_runs.on_link_up(peer)
        self._carry_out(self._tickets.on_link_up(peer.name, peer.incarnation))
        self._give_up_gone()

    def on_relay_clock(self, relay: str, relay_now_ms: int) -> None:
        """Take a reading of a relay's clock.

        :param relay: its node name.
        :param relay_now_ms: its clock when it sent the reading.
        """
        self._relay_runs.on_clock(relay, relay_now_ms)

    def drain(self) -> None:
        """Stop minting."""
        report = self._tickets.drain(self._now_ms())
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
        return self._tickets.drain(self._now_ms()).open_ms

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
        minted = self._tickets.on_mint(
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
                    self._relay_runs.start(effect)
                case SendForward(_, owner, message):
                    if not self._send(owner, message):
                        self._give_up_gone()
                case SendForwardReply(entry, message):
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
            reply = self._tickets.on_key_claim(claim, now_ms)
            self._carry_out(self._tickets.on_key_reply(reply, now_ms))
        elif not self._send(entry, claim):
            self._carry_out(self._tickets.on_link_lost(entry, now_ms))

    def _ask_permit(self, ticket: str) -> SendPermit:
        permit = self._tickets.on_send(ticket, self._now_ms())
        self._carry_out(list(permit.effects))
        return permit

    def _ended(self, ticket: str, kind: OutcomeKind, result: bytes, retry_after_ms: int) -> None:
        ended = self._tickets.on_upstream(ticket, kind, result, retry_after_ms, self._now_ms())
        self._carry_out(ended)

    def _give_up_gone(self) -> None:
        """End as unknown what was sent to processes that are gone."""
        self._relay_runs.give_up_gone()
        for entry, incarnation in self._tickets.pending_owners():
            if self._is_gone(entry, incarnation):
                gone = self._tickets.on_peer_gone(entry, incarnation, self._now_ms())
                self._carry_out(gone)

    def _tick(self) -> None:
        self._carry_out(self._tickets.tick(self._now_ms()))
        self._relay_runs.tick()
        self._give_up_gone()


def _checked_key(command: api.RunCommand, key: str) -> api.RunCommand | api.ApiError:
    if 0 < len(key) <= _MOST_KEY_CHARACTERS and key.isprintable():
        return command
    return api.ApiError(
        400,
        "bad-key",
        f"Idempotency-Key has to be 1 to {_MOST_KEY_CHARACTERS} printable characters.",
        "Send a UUID, for example.",
    )
