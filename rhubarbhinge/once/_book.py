"""The book of one entry's tickets."""

from rhubarbhinge.once._asker import Asker, LocalAsker, PeerAsker
from rhubarbhinge.once._codes import Code, not_run, outcome, unknown
from rhubarbhinge.once._digest import body_digest
from rhubarbhinge.once._drain_report import DrainReport
from rhubarbhinge.once._effects import (
    AnswerOutcome,
    AnswerRedirect,
    Effect,
    Forward,
    ReplyForward,
    SendClaim,
    StartRun,
)
from rhubarbhinge.once._fault import TicketFault
from rhubarbhinge.once._forwards import ForwardTable, PendingForward
from rhubarbhinge.once._key_results import KeyBound, KeyEffect, KeyRefused
from rhubarbhinge.once._keybook import KeyBook
from rhubarbhinge.once._outcome import Outcome, OutcomeKind, kind_of
from rhubarbhinge.once._permit import SendPermit
from rhubarbhinge.once._record import TicketRecord, TicketState
from rhubarbhinge.once._settings import OnceSettings
from rhubarbhinge.once._signer import Signer
from rhubarbhinge.once._ticket import Ticket
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._key_claim_reply import KeyClaimReply
from rhubarbhinge.wire._ticket_forward import TicketForward
from rhubarbhinge.wire._ticket_forward_reply import TicketForwardReply

NOT_STARTED_RETRY_MS = 1_000
"""Advice to a reader of an unused ticket, in ms."""


class TicketBook:
    """The book of one entry's tickets: the right to run lives and dies with it.

    :param signer: mints and checks tickets under this entry's name and incarnation.
    :param keys: the book of idempotency keys.
    :param settings: bounds.
    """

    def __init__(self, signer: Signer, keys: KeyBook, settings: OnceSettings):
        self._signer = signer
        self._keys = keys
        self._settings = settings
        self._records: dict[int, TicketRecord] = {}
        self._running: set[int] = set()
        self._forwards = ForwardTable(settings.most_forwards)
        self._next_sequence = 0
        self._draining = False

    @property
    def held(self) -> int:
        """Tell how many tickets are held.

        :returns: the number of records, of any state.
        """
        return len(self._records)

    def on_mint(
        self, request: int, action: str, body: bytes, key: str | None, now_ms: int
    ) -> list[Effect]:
        """Take a request without a ticket; it doesn't run yet.

        :param request: number of the caller's request.
        :param action: name of the action.
        :param body: the caller's body.
        :param key: the tenant's name and the caller's key, if one was given.
        :param now_ms: time on this entry's clock.
        :returns: a redirect, a refusal, or a claim of the key.
        """
        self._forget(now_ms)
        refusal = self._minting_refusal(now_ms)
        if refusal is not None:
            return [AnswerOutcome(request, refusal)]
        digest = body_digest(action, body)
        text = self._mint(action, digest, now_ms)
        if key is None:
            return [AnswerRedirect(request, text, self._settings.lifetime_ms)]
        return self._from_keys(self._keys.start(request, key, digest, text, now_ms), now_ms)

    def on_run(self, request: int, text: str, body: bytes, now_ms: int) -> list[Effect]:
        """Take a request with a ticket: run it here once, or ask its owner.

        :param request: number of the caller's request.
        :param text: the ticket's text.
        :param body: the caller's body.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        ticket = self._signer.verify(text)
        if isinstance(ticket, TicketFault):
            return [AnswerOutcome(request, not_run(ticket.code))]
        if self._signer.owns(ticket):
            return self._run(LocalAsker(request), ticket, text, body, now_ms)
        return self._forward(request, ticket, text, body, False, now_ms)

    def on_read(self, request: int, text: str, now_ms: int) -> list[Effect]:
        """Take a read of a ticket's outcome; it never runs the ticket.

        :param request: number of the caller's request.
        :param text: the ticket's text.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        ticket = self._signer.verify(text)
        if isinstance(ticket, TicketFault):
            return [AnswerOutcome(request, not_run(ticket.code))]
        if self._signer.owns(ticket):
            return self._read(LocalAsker(request), ticket, now_ms)
        return self._forward(request, ticket, text, b"", True, now_ms)

    def on_forwarded(self, message: TicketForward, now_ms: int) -> list[Effect]:
        """Take a run or a read that another entry passed on.

        :param message: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        asker = PeerAsker(message.from_entry, message.from_incarnation, message.call)
        ticket = self._signer.verify(message.ticket)
        if isinstance(ticket, TicketFault):
            return [self._answer(asker, message.ticket, not_run(ticket.code))]
        me = (self._signer.entry, self._signer.incarnation)
        meant_for = (message.owner_entry, message.owner_incarnation)
        if me != meant_for or not self._signer.owns(ticket):
            return [self._answer(asker, message.ticket, unknown(Code.OTHER_INCARNATION))]
        if message.read:
            return self._read(asker, ticket, now_ms)
        return self._run(asker, ticket, message.ticket, message.body, now_ms)

    def on_forward_result(self, reply: TicketForwardReply, now_ms: int) -> list[Effect]:
        """Take the owner's answer to a forwarded ticket.

        :param reply: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects; none if the call is over or is not ours.
        """
        kind = kind_of(reply.kind)
        if reply.to_incarnation != self._signer.incarnation or kind is None:
            return []
        pending = self._forwards.close(reply.call, reply.ticket)
        if pending is None:
            return []
        found = Outcome(
            kind, reply.code, reply.message, reply.todo, reply.retry_after_ms, reply.result
        )
        return [AnswerOutcome(pending.request, found)]

    def on_send(self, text: str, now_ms: int) -> SendPermit:
        """Check once more, just before the first byte of a run leaves.

        A process that was frozen after ``StartRun`` finds its ticket expired or its run past its
        deadline here; then nothing is sent, and the outcome is known to be not run.

        :param text: the ticket's text.
        :param now_ms: time on this entry's clock, read after everything that can block.
        :returns: whether to send; True once in a ticket's life.
        """
        record = self._own_record(text)
        if record is None or record.state is not TicketState.CONSUMED:
            return SendPermit(False)
        if now_ms >= min(record.deadline_ms, record.ticket.expires_ms):
            late = not_run(Code.LATE_SEND)
            return SendPermit(False, tuple(self._finish(record, late)))
        record.state = TicketState.SENT
        return SendPermit(True)

    def on_upstream(
        self, text: str, kind: OutcomeKind, payload: bytes, retry_after_ms: int, now_ms: int
    ) -> list[Effect]:
        """Take what came of a run.

        ``refused_not_run`` is for two cases only: nothing was sent, or the upstream refused in so
        many words. Everything else but an answer is ``unknown``, and so is a refusal that comes
        after the run's deadline: a relay's guard may then have forgotten that it sent the ticket.

        :param text: the ticket's text.
        :param kind: what is known.
        :param payload: the upstream's result, when it ran.
        :param retry_after_ms: the upstream's advice, when it refused.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        record = self._own_record(text)
        if record is None or record.state is TicketState.MINTED:
            return []
        if record.state is TicketState.DONE and not _may_replace(record.outcome, kind):
            return []
        late = record.state is TicketState.SENT and now_ms >= record.deadline_ms
        if late and kind is OutcomeKind.REFUSED_NOT_RUN:
            kind = OutcomeKind.UNKNOWN
        return self._finish(record, self._outcome_of(kind, payload, retry_after_ms))

    def on_peer_gone(self, entry: str, incarnation: int, now_ms: int) -> list[Effect]:
        """Answer what was asked of an entry that can't be reached.

        :param entry: name of that entry.
        :param incarnation: its incarnation.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        lost = self._forwards.close_owner(entry, incarnation)
        effects = _give_up(lost, Code.OWNER_GONE)
        return effects + self._from_keys(self._keys.on_peer_gone(entry, now_ms), now_ms)

    def on_key_claim(self, claim: KeyClaim, now_ms: int) -> KeyClaimReply:
        """Answer a claim of a key that this entry is an owner of.

        :param claim: the message.
        :param now_ms: time on this entry's clock.
        :returns: the reply to send.
        """
        return self._keys.on_claim(claim, now_ms)

    def on_key_reply(self, reply: KeyClaimReply, now_ms: int) -> list[Effect]:
        """Take the answer of an owner of a key.

        :param reply: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        return self._from_keys(self._keys.on_reply(reply, now_ms), now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """End what is past its time.

        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        effects = self._end_late_runs(now_ms)
        effects += _give_up(self._forwards.close_late(now_ms), Code.OWNER_SILENT)
        effects += self._from_keys(self._keys.tick(now_ms), now_ms)
        self._forget(now_ms)
        return effects

    def drain(self, now_ms: int) -> DrainReport:
        """Stop minting; tickets that are out can still be run and read.

        :param now_ms: time on this entry's clock.
        :returns: what is still open.
        """
        self._draining = True
        unused = [r for r in self._records.values() if _is_unused(r, now_ms)]
        ends = [r.ticket.expires_ms for r in unused]
        ends += [self._records[sequence].deadline_ms for sequence in self._running]
        ends.append(self._forwards.last_deadline_ms)
        open_ms = max(0, max(ends) - now_ms)
        return DrainReport(len(unused), len(self._running), len(self._forwards), open_ms)

    def _minting_refusal(self, now_ms: int) -> Outcome | None:
        if self._draining:
            return not_run(Code.DRAINING)
        if len(self._records) < self._settings.most_tickets:
            return None
        oldest = next(iter(self._records.values()))
        free_ms = oldest.ticket.expires_ms + self._settings.keep_ms
        return not_run(Code.FULL, max(1, free_ms - now_ms))

    def _mint(self, action: str, digest: bytes, now_ms: int) -> str:
        sequence = self._next_sequence
        self._next_sequence += 1
        expires_ms = now_ms + self._settings.lifetime_ms
        ticket = Ticket(
            self._signer.entry, self._signer.incarnation, sequence, action, expires_ms, digest
        )
        self._records[sequence] = TicketRecord(ticket)
        return self._signer.mint(sequence, action, digest, expires_ms)

    def _run(
        self, asker: Asker, ticket: Ticket, text: str, body: bytes, now_ms: int
    ) -> list[Effect]:
        if body_digest(ticket.action, body) != ticket.digest:
            return [self._answer(asker, text, not_run(Code.BODY_MISMATCH))]
        record = self._records.get(ticket.sequence)
        if record is None:
            return [self._answer(asker, text, unknown(Code.EXPIRED))]
        if record.state is TicketState.MINTED:
            return self._start(record, asker, text, body, now_ms)
        return self._wait(record, asker, text)

    def _start(
        self, record: TicketRecord, asker: Asker, text: str, body: bytes, now_ms: int
    ) -> list[Effect]:
        if now_ms >= record.ticket.expires_ms:
            record.waiters.append(asker)
            return self._finish(record, not_run(Code.EXPIRED_UNUSED))
        record.state = TicketState.CONSUMED
        record.deadline_ms = now_ms + self._settings.run_ms
        record.waiters.append(asker)
        self._running.add(record.ticket.sequence)
        return [StartRun(text, record.ticket.action, body, record.deadline_ms)]

    def _read(self, asker: Asker, ticket: Ticket, now_ms: int) -> list[Effect]:
        text = self._text(ticket)
        record = self._records.get(ticket.sequence)
        if record is None:
            return [self._answer(asker, text, unknown(Code.EXPIRED))]
        if record.state is not TicketState.MINTED:
            return self._wait(record, asker, text)
        if now_ms >= ticket.expires_ms:
            record.waiters.append(asker)
            return self._finish(record, not_run(Code.EXPIRED_UNUSED))
        return [self._answer(asker, text, unknown(Code.NOT_STARTED, NOT_STARTED_RETRY_MS))]

    def _wait(self, record: TicketRecord, asker: Asker, text: str) -> list[Effect]:
        if record.outcome is not None:
            return [self._answer(asker, text, record.outcome)]
        if len(record.waiters) >= self._settings.most_waiters:
            late = unknown(Code.WAITERS_FULL, self._settings.run_ms)
            return [self._answer(asker, text, late)]
        record.waiters.append(asker)
        return []

    def _finish(self, record: TicketRecord, found: Outcome) -> list[Effect]:
        record.state = TicketState.DONE
        record.outcome = found
        self._running.discard(record.ticket.sequence)
        waiters, record.waiters = record.waiters, []
        text = self._text(record.ticket)
        return [self._answer(asker, text, found) for asker in waiters]

    def _outcome_of(self, kind: OutcomeKind, payload: bytes, retry_after_ms: int) -> Outcome:
        if kind is OutcomeKind.REFUSED_NOT_RUN:
            return not_run(Code.UPSTREAM_REFUSED, retry_after_ms)
        if kind is OutcomeKind.UNKNOWN:
            return unknown(Code.UPSTREAM_UNKNOWN)
        if len(payload) > self._settings.most_result_bytes:
            return outcome(kind, Code.RESULT_TOO_LARGE)
        return outcome(kind, Code.DONE, result=payload)

    def _end_late_runs(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for sequence in sorted(self._running):
            record = self._records[sequence]
            if now_ms < record.deadline_ms:
                continue
            sent = record.state is TicketState.SENT
            found = unknown(Code.DEADLINE) if sent else not_run(Code.LATE_SEND)
            effects += self._finish(record, found)
        return effects

    def _forget(self, now_ms: int) -> None:
        while self._records:
            sequence, record = next(iter(self._records.items()))
            if now_ms < record.ticket.expires_ms + self._settings.keep_ms:
                return
            if sequence in self._running:
                return
            del self._records[sequence]

    def _forward(
        self, request: int, ticket: Ticket, text: str, body: bytes, read: bool, now_ms: int
    ) -> list[Effect]:
        if ticket.entry == self._signer.entry:
            return [AnswerOutcome(request, unknown(Code.OTHER_INCARNATION))]
        if self._forwards.is_full:
            busy = unknown(Code.FORWARDS_FULL, self._settings.forward_ms)
            return [AnswerOutcome(request, busy)]
        deadline_ms = now_ms + self._settings.forward_ms
        call = self._forwards.open(
            PendingForward(request, ticket.entry, ticket.incarnation, text, deadline_ms)
        )
        me = self._signer
        message = TicketForward(
            call, me.entry, me.incarnation, ticket.entry, ticket.incarnation, text, body, read
        )
        return [Forward(request, ticket.entry, message)]

    def _answer(self, asker: Asker, text: str, found: Outcome) -> Effect:
        if isinstance(asker, LocalAsker):
            return AnswerOutcome(asker.request, found)
        reply = TicketForwardReply(
            asker.call,
            asker.incarnation,
            text,
            found.kind.value,
            found.code,
            found.message,
            found.todo,
            found.retry_after_ms,
            found.result,
        )
        return ReplyForward(asker.entry, reply)

    def _from_keys(self, key_effects: list[KeyEffect], now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for effect in key_effects:
            if isinstance(effect, SendClaim):
                effects.append(effect)
                continue
            if effect.unused is not None:
                self._release(effect.unused)
            effects.append(self._key_answer(effect, now_ms))
        return effects

    def _key_answer(self, effect: KeyBound | KeyRefused, now_ms: int) -> Effect:
        if isinstance(effect, KeyRefused):
            return AnswerOutcome(effect.request, effect.outcome)
        record = self._own_record(effect.ticket)
        left_ms = 0 if record is None else max(0, record.ticket.expires_ms - now_ms)
        return AnswerRedirect(effect.request, effect.ticket, left_ms)

    def _release(self, text: str) -> None:
        record = self._own_record(text)
        if record is not None and record.state is TicketState.MINTED:
            del self._records[record.ticket.sequence]

    def _own_record(self, text: str) -> TicketRecord | None:
        ticket = self._signer.verify(text)
        if isinstance(ticket, TicketFault) or not self._signer.owns(ticket):
            return None
        return self._records.get(ticket.sequence)

    def _text(self, ticket: Ticket) -> str:
        return self._signer.mint(ticket.sequence, ticket.action, ticket.digest, ticket.expires_ms)


def _is_unused(record: TicketRecord, now_ms: int) -> bool:
    return record.state is TicketState.MINTED and now_ms < record.ticket.expires_ms


def _give_up(calls: list[PendingForward], code: Code) -> list[Effect]:
    return [AnswerOutcome(pending.request, unknown(code)) for pending in calls]


def _may_replace(old: Outcome | None, kind: OutcomeKind) -> bool:
    """Tell whether late news replaces an outcome; only an answer does, and only ``unknown``."""
    was_unknown = old is not None and old.kind is OutcomeKind.UNKNOWN
    return was_unknown and kind is OutcomeKind.RAN
