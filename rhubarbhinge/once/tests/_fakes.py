"""In-memory simulation of entries, relays and an upstream, driven step by step."""

from collections.abc import Callable

from rhubarbhinge.once import (
    AnswerOutcome,
    AnswerRedirect,
    IdempotencyKeys,
    OnceSettings,
    OutcomeKind,
    RunDeduplicator,
    SendClaim,
    SendForward,
    SendForwardReply,
    Signer,
    StartRun,
    TicketService,
)
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._key_claim_reply import KeyClaimReply
from rhubarbhinge.wire._run_reply import RunReply
from rhubarbhinge.wire._run_request import RunRequest
from rhubarbhinge.wire._ticket_forward import TicketForward

KEY = b"0123456789abcdef"
ENTRIES = ("a/entry", "b/entry", "c/entry")
RELAYS = ("a/relay", "b/relay")
WINDOW_MS = 200
CLOCK_OFFSETS_MS = dict(zip(ENTRIES + RELAYS, (0, 7_000_000, -9_000, 31, 500), strict=True))
SETTINGS = OnceSettings(
    lifetime_ms=100,
    keep_ms=50,
    run_ms=20,
    forward_ms=30,
    most_tickets=12,
    most_waiters=4,
    most_result_bytes=8,
    most_kept_bytes=20,
    key_window_ms=WINDOW_MS,
    key_claim_ms=20,
)
BODIES = (b"order 1", b"order 2")
KEYS = ("kingston/k1", "kingston/k2")


class Fleet:
    """All processes and the messages in transit; ``history`` records what happened."""

    def __init__(self, past_window: bool = True):
        self.now_ms = 10_000
        self.started_ms = self.now_ms - (2 * WINDOW_MS if past_window else 0)
        self.incarnations = 0
        self.history: list[str] = []
        self.tickets: list[tuple[str, bytes]] = []
        self.requests: dict[int, tuple[str | None, str | None, bytes, int]] = {}
        self.key_epochs: dict[str, tuple[int, int]] = {}
        self.listed = frozenset(ENTRIES)
        self.answers: dict[int, object] = {}
        self.network: list[tuple[str, str, object]] = []
        self.outboxes: dict[str, list[StartRun]] = {}
        self.inboxes: dict[str, list[RunRequest]] = {}
        self.split: frozenset[str] = frozenset()
        self.services: dict[str, TicketService] = {}
        self.keys: dict[str, IdempotencyKeys] = {}
        self.deduplicators: dict[str, RunDeduplicator] = {}
        for name in ENTRIES:
            self.start_entry(name, self.started_ms)
        for name in RELAYS:
            self.start_relay(name)

    def start_entry(self, name: str, started_ms: int) -> None:
        """Start or restart an entry, which loses all state and unsent messages."""
        self.incarnations += 1
        offset_ms = CLOCK_OFFSETS_MS[name]
        keys = IdempotencyKeys(name, self.incarnations, SETTINGS, started_ms + offset_ms)
        signer = Signer(KEY, name, self.incarnations)
        self.services[name] = TicketService(signer, keys, SETTINGS)
        self.keys[name] = keys
        self.outboxes[name] = []
        self.refresh_list(name)

    def refresh_list(self, name: str) -> None:
        """Update an entry's list of entries, unless it is partitioned."""
        if name not in self.split:
            self.keys[name].on_entries(self.listed, self.clock(name), self.clock(name))

    def clock(self, name: str) -> int:
        """Return the time on the clock of a process; all clocks differ."""
        return self.now_ms + CLOCK_OFFSETS_MS[name]

    def sleep(self, duration_ms: int) -> None:
        """Advance the time, then update the lists of the entries that are not partitioned."""
        self.now_ms += duration_ms
        for name in ENTRIES:
            self.refresh_list(name)

    def tick(self, entry: str) -> None:
        """Tick an entry, so that it ends overdue work."""
        self.act(entry, lambda service, now_ms: service.tick(now_ms))

    def flush(self) -> None:
        """Deliver the messages in transit, and those sent in response, in order."""
        for _ in range(len(self.network) * 4):
            self.deliver(self._first_deliverable(), False)

    def _first_deliverable(self) -> int:
        ends = enumerate(self.network)
        passes = (i for i, (a, b, _) in ends if (a in self.split) == (b in self.split))
        return next(passes, 0)

    def start_relay(self, name: str) -> None:
        """Start or restart a relay."""
        self.incarnations += 1
        self.deduplicators[name] = RunDeduplicator(
            name, self.incarnations, SETTINGS.key_window_ms, 100
        )
        self.inboxes[name] = []

    def mint(self, entry: str, body: bytes, key: str | None) -> int:
        """Send a request without a ticket."""
        request = self._new_request(None, key, body)
        self.act(
            entry, lambda service, now_ms: service.on_mint(request, "order", body, key, now_ms)
        )
        return request

    def run(self, entry: str, ticket: str, body: bytes) -> int:
        """Send a request with a ticket."""
        request = self._new_request(ticket, None, body)
        self.act(entry, lambda service, now_ms: service.on_run(request, ticket, body, now_ms))
        return request

    def read(self, entry: str, ticket: str) -> int:
        """Read a ticket's outcome."""
        request = self._new_request(ticket, None, b"")
        self.act(entry, lambda service, now_ms: service.on_read(request, ticket, now_ms))
        return request

    def act(self, entry: str, step: Callable[[TicketService, int], list]) -> None:
        """Call an entry and apply the effects that it returns."""
        for effect in step(self.services[entry], self.clock(entry)):
            self._apply_effect(entry, effect)

    def send_run(self, entry: str, relay: str) -> None:
        """Send an entry's oldest started run, if that is still permitted."""
        if not self.outboxes[entry]:
            return
        start = self.outboxes[entry].pop(0)
        permit = self.services[entry].on_send(start.ticket, self.clock(entry))
        for effect in permit.effects:
            self._apply_effect(entry, effect)
        if not permit.send:
            return
        self.history.append(f"send {start.ticket} {relay}")
        sender = self.services[entry]._signer.incarnation
        receiver = self.deduplicators[relay]._incarnation
        relay_deadline_ms = start.deadline_ms - self.clock(entry) + self.clock(relay)
        message = RunRequest(
            entry,
            sender,
            relay,
            receiver,
            start.ticket,
            start.action,
            start.body,
            relay_deadline_ms,
        )
        self.network.append((entry, relay, message))

    def call_upstream(self, relay: str, result: int) -> None:
        """Send a relay's oldest run to the upstream; ``result`` selects its outcome."""
        if not self.inboxes.get(relay):
            return
        request = self.inboxes[relay].pop(0)
        reply = self.deduplicators[relay].may_send(request, self.clock(relay))
        if reply is None:
            reply = self._upstream(request, result)
        self.network.append((relay, request.entry, reply))

    def deliver(self, at: int, keep: bool) -> None:
        """Deliver one message, if its ends are not partitioned; keep it to deliver it twice."""
        if not self.network:
            return
        index = at % len(self.network)
        sender, receiver, message = self.network[index]
        if (sender in self.split) != (receiver in self.split):
            return
        if not keep:
            del self.network[index]
        self._receive(receiver, message)

    def settle(self) -> None:
        """Deliver all messages and execute all runs, in order."""
        while self.network or any(self.outboxes.values()) or any(self.inboxes.values()):
            for name in ENTRIES:
                self.send_run(name, RELAYS[0])
            for name in RELAYS:
                self.call_upstream(name, 0)
            self.deliver(0, False)

    def _new_request(self, ticket: str | None, key: str | None, body: bytes) -> int:
        request = len(self.requests)
        self.requests[request] = (ticket, key, body, self.now_ms)
        return request

    def _apply_effect(self, entry: str, effect: object) -> None:
        match effect:
            case AnswerRedirect():
                self._redirect(effect)
            case AnswerOutcome():
                self._answer(effect)
            case StartRun():
                self.outboxes[entry].append(effect)
            case SendForward():
                self.network.append((entry, effect.owner, effect.message))
            case SendForwardReply() | SendClaim():
                self.network.append((entry, effect.entry, effect.message))

    def _redirect(self, effect: AnswerRedirect) -> None:
        _, key, body, asked_ms = self.requests[effect.request]
        assert effect.request not in self.answers
        self.answers[effect.request] = effect
        if (effect.ticket, body) not in self.tickets:
            self.tickets.append((effect.ticket, body))
            self.history.append(f"mint {effect.ticket} -")
        if key is not None:
            self.history.append(f"bind {effect.ticket} {self._epoch(key, asked_ms)}")

    def _epoch(self, key: str, asked_ms: int) -> str:
        """Return the name of the series of requests with a key at intervals below the window."""
        number, last_ms = self.key_epochs.get(key, (0, asked_ms))
        number += asked_ms >= last_ms + WINDOW_MS
        self.key_epochs[key] = (number, max(last_ms, asked_ms))
        return f"{key}#{number}"

    def _answer(self, effect: AnswerOutcome) -> None:
        ticket = self.requests[effect.request][0]
        assert effect.request not in self.answers
        self.answers[effect.request] = effect.outcome
        if ticket is not None and effect.outcome.code != "body-mismatch":
            self.history.append(f"answer {ticket} {effect.outcome.kind}")

    def _receive(self, name: str, message: object) -> None:
        now_ms = self.clock(name)
        match message:
            case RunRequest():
                self._relay_receive(name, message)
            case RunReply():
                self._run_reply(name, message)
            case TicketForward():
                self.act(name, lambda service, now_ms: service.on_forwarded(message, now_ms))
            case KeyClaim():
                reply = self.services[name].on_key_claim(message, now_ms)
                self.network.append((name, message.from_entry, reply))
            case KeyClaimReply():
                self.act(name, lambda service, now_ms: service.on_key_reply(message, now_ms))
            case _:
                self.act(name, lambda service, now_ms: service.on_forward_result(message, now_ms))

    def _relay_receive(self, relay: str, request: RunRequest) -> None:
        reply = self.deduplicators[relay].on_request(request, self.clock(relay))
        if reply is None:
            self.inboxes[relay].append(request)
        else:
            self.network.append((relay, request.entry, reply))

    def _run_reply(self, entry: str, reply: RunReply) -> None:
        if reply.entry_incarnation != self.services[entry]._signer.incarnation:
            return
        kind = OutcomeKind(reply.kind)
        self.act(
            entry,
            lambda service, now_ms: service.on_upstream(
                reply.ticket, kind, reply.result, 0, now_ms
            ),
        )

    def _upstream(self, request: RunRequest, result: int) -> RunReply:
        kinds = (OutcomeKind.RAN, OutcomeKind.UNKNOWN, OutcomeKind.REFUSED_NOT_RUN)
        kind = kinds[result % len(kinds)]
        if kind is not OutcomeKind.REFUSED_NOT_RUN:
            self.history.append(f"run {request.ticket} u1")
        return RunReply(request.entry_incarnation, request.ticket, kind.value, "", 0, b"done")
