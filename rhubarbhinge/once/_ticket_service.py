"""The tickets of one entry: minting, runs, reads and forwarding to other entries."""

from rhubarbhinge.once._body_digest import body_digest
from rhubarbhinge.once._drain_report import DrainReport
from rhubarbhinge.once._effects import (
    AnswerOutcome,
    AnswerRedirect,
    Effect,
    SendClaim,
    SendForward,
)
from rhubarbhinge.once._forwards import ForwardTable, PendingForward
from rhubarbhinge.once._idempotency_keys import IdempotencyKeys
from rhubarbhinge.once._invalid_ticket import InvalidTicket
from rhubarbhinge.once._key_results import KeyBound, KeyEffect, KeyRefused
from rhubarbhinge.once._once_settings import OnceSettings
from rhubarbhinge.once._outcome import Outcome, OutcomeKind, kind_of
from rhubarbhinge.once._outcome_codes import OutcomeCode, not_run, unknown
from rhubarbhinge.once._outcome_effects import outcome_effect
from rhubarbhinge.once._requester import LocalRequester, PeerRequester, Requester
from rhubarbhinge.once._send_permit import SendPermit
from rhubarbhinge.once._signer import Signer
from rhubarbhinge.once._ticket import Ticket
from rhubarbhinge.once._ticket_store import TicketStore
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._key_claim_reply import KeyClaimReply
from rhubarbhinge.wire._ticket_forward import TicketForward
from rhubarbhinge.wire._ticket_forward_reply import TicketForwardReply


class TicketService:
    """The tickets of one entry, without I/O: methods return the effects to carry out.

    Its state is not persisted: no later process can run the tickets minted here.

    :param signer: mints and verifies tickets under this entry's name and incarnation.
    :param keys: the service for idempotency keys.
    :param settings: limits.
    """

    def __init__(self, signer: Signer, keys: IdempotencyKeys, settings: OnceSettings):
        self._signer = signer
        self._keys = keys
        self._settings = settings
        self._ticket_store = TicketStore(signer, settings)
        self._forwards = ForwardTable(settings.most_forwards)
        self._draining = False

    @property
    def ticket_count(self) -> int:
        """Return the number of tickets held.

        :returns: the number of records in any state.
        """
        return len(self._ticket_store)

    def on_mint(
        self, request: int, action: str, body: bytes, key: str | None, now_ms: int
    ) -> list[Effect]:
        """Handle a request without a ticket, which is not run yet.

        A refusal of a request with a key is ``unknown``, as it may have run earlier under its key.

        :param request: number of the caller's request.
        :param action: name of the action.
        :param body: the caller's body.
        :param key: the workspace's name and the caller's key, if one was given.
        :param now_ms: time on this entry's clock.
        :returns: a redirect, a refusal, or a claim of the key.
        """
        self._ticket_store.remove_expired(now_ms)
        refuse = not_run if key is None else unknown
        if self._draining:
            return [AnswerOutcome(request, refuse(OutcomeCode.DRAINING))]
        full_for_ms = self._ticket_store.full_for_ms(now_ms)
        if full_for_ms:
            return [AnswerOutcome(request, refuse(OutcomeCode.FULL, full_for_ms))]
        digest = body_digest(action, body)
        text = self._ticket_store.mint(action, digest, now_ms)
        if key is None:
            return [AnswerRedirect(request, text, self._settings.lifetime_ms)]
        return self._apply_key_effects(self._keys.start(request, key, digest, text, now_ms), now_ms)

    def on_run(self, request: int, text: str, body: bytes, now_ms: int) -> list[Effect]:
        """Handle a request with a ticket: run it once, or forward it to the ticket's owner.

        :param request: number of the caller's request.
        :param text: the ticket's text.
        :param body: the caller's body.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        return self._handle_ticket(request, text, body, False, now_ms)

    def on_read(self, request: int, text: str, now_ms: int) -> list[Effect]:
        """Handle a read of a ticket's outcome, which never runs the ticket.

        :param request: number of the caller's request.
        :param text: the ticket's text.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        return self._handle_ticket(request, text, b"", True, now_ms)

    def on_forwarded(self, message: TicketForward, now_ms: int) -> list[Effect]:
        """Handle a run or a read forwarded by another entry.

        :param message: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        requester = PeerRequester(message.from_entry, message.from_incarnation, message.call)
        ticket = self._signer.verify(message.ticket)
        if isinstance(ticket, InvalidTicket):
            return [outcome_effect(requester, message.ticket, unknown(ticket.code))]
        own_identity = (self._signer.entry, self._signer.incarnation)
        intended_owner = (message.owner_entry, message.owner_incarnation)
        if own_identity != intended_owner or not self._signer.owns(ticket):
            return [
                outcome_effect(requester, message.ticket, unknown(OutcomeCode.OTHER_INCARNATION))
            ]
        return self._handle_own_ticket(
            requester, ticket, message.ticket, message.body, message.read, now_ms
        )

    def on_forward_result(self, reply: TicketForwardReply, now_ms: int) -> list[Effect]:
        """Handle the owner's reply to a forwarded ticket.

        :param reply: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects; none if the call is closed or belongs to another incarnation.
        """
        kind = kind_of(reply.kind)
        if reply.to_incarnation != self._signer.incarnation or kind is None:
            return []
        pending = self._forwards.close(reply.call, reply.ticket)
        if pending is None:
            return []
        outcome = Outcome(
            kind, reply.code, reply.message, reply.todo, reply.retry_after_ms, reply.result
        )
        return [AnswerOutcome(pending.request, outcome)]

    def on_send(self, text: str, now_ms: int) -> SendPermit:
        """Return whether a run may be sent, immediately before its first byte is sent.

        This detects that the process was suspended after ``StartRun`` until the ticket expired or
        the run's deadline passed. Nothing is sent then, and the run is known not to have run.

        :param text: the ticket's text.
        :param now_ms: time on this entry's clock, read after everything that can block.
        :returns: the permit; it allows sending at most once for a ticket.
        """
        return self._ticket_store.on_send(text, now_ms)

    def on_upstream(
        self, text: str, kind: OutcomeKind, payload: bytes, retry_after_ms: int, now_ms: int
    ) -> list[Effect]:
        """Handle the outcome of a run.

        ``refused_not_run`` is for two cases only: nothing was sent, or the upstream refused
        explicitly. Everything else except an answer is ``unknown``. So is a refusal after the run's
        deadline, as the relay may by then have forgotten that it sent the ticket.

        :param text: the ticket's text.
        :param kind: what is known of the run.
        :param payload: the upstream's result, when it ran.
        :param retry_after_ms: the retry delay that the upstream asked for, when it refused.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        return self._ticket_store.on_upstream(text, kind, payload, retry_after_ms, now_ms)

    def on_peer_gone(self, entry: str, incarnation: int, now_ms: int) -> list[Effect]:
        """Fail the pending calls to an entry that is unreachable.

        :param entry: name of that entry.
        :param incarnation: its incarnation.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        lost = self._forwards.close_owner(entry, incarnation)
        effects = _give_up(lost, OutcomeCode.OWNER_GONE)
        return effects + self.on_link_lost(entry, now_ms)

    def on_link_lost(self, entry: str, now_ms: int) -> list[Effect]:
        """Fail the key claims at an entry whose link is lost; forwarded tickets stay pending.

        :param entry: name of that entry.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        return self._apply_key_effects(self._keys.on_peer_gone(entry, now_ms), now_ms)

    def pending_owners(self) -> set[tuple[str, int]]:
        """Return the entries with pending forwarded tickets.

        :returns: names and incarnations.
        """
        return self._forwards.owners()

    def on_link_up(self, entry: str, incarnation: int) -> list[Effect]:
        """Resend the pending calls that an entry may not have received before its link was lost.

        The entry runs a ticket once, however often it is forwarded.

        :param entry: name of that entry.
        :param incarnation: its incarnation.
        :returns: the messages of the pending calls.
        """
        pending_by_call = self._forwards.of_owner(entry, incarnation)
        return [self._forward_effect(call, each) for call, each in pending_by_call.items()]

    def on_key_claim(self, claim: KeyClaim, now_ms: int) -> KeyClaimReply:
        """Handle a claim of a key that this entry owns.

        :param claim: the message.
        :param now_ms: time on this entry's clock.
        :returns: the reply to send.
        """
        return self._keys.on_claim(claim, now_ms)

    def on_key_reply(self, reply: KeyClaimReply, now_ms: int) -> list[Effect]:
        """Handle the reply of an owner of a key.

        :param reply: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        return self._apply_key_effects(self._keys.on_reply(reply, now_ms), now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Fail overdue runs, calls and claims, and remove expired records.

        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        effects = self._ticket_store.end_late_runs(now_ms)
        effects += _give_up(self._forwards.close_late(now_ms), OutcomeCode.OWNER_SILENT)
        effects += self._apply_key_effects(self._keys.tick(now_ms), now_ms)
        self._ticket_store.remove_expired(now_ms)
        return effects

    def drain(self, now_ms: int) -> DrainReport:
        """Stop minting; existing tickets can still be run and read.

        :param now_ms: time on this entry's clock.
        :returns: the tickets, runs and calls that are still open.
        """
        self._draining = True
        ends_ms = max(self._ticket_store.open_until_ms(now_ms), self._forwards.last_deadline_ms)
        return DrainReport(
            self._ticket_store.unused(now_ms),
            self._ticket_store.running,
            len(self._forwards),
            ends_ms - now_ms,
        )

    def _handle_ticket(
        self, request: int, text: str, body: bytes, read: bool, now_ms: int
    ) -> list[Effect]:
        ticket = self._signer.verify(text)
        if isinstance(ticket, InvalidTicket):
            return [AnswerOutcome(request, unknown(ticket.code))]
        if self._signer.owns(ticket):
            return self._handle_own_ticket(
                LocalRequester(request), ticket, text, body, read, now_ms
            )
        return self._forward(request, ticket, text, body, read, now_ms)

    def _handle_own_ticket(
        self, requester: Requester, ticket: Ticket, text: str, body: bytes, read: bool, now_ms: int
    ) -> list[Effect]:
        if read:
            return self._ticket_store.read(requester, ticket, text, now_ms)
        return self._ticket_store.run(requester, ticket, text, body, now_ms)

    def _forward(
        self, request: int, ticket: Ticket, text: str, body: bytes, read: bool, now_ms: int
    ) -> list[Effect]:
        if ticket.entry == self._signer.entry:
            return [AnswerOutcome(request, unknown(OutcomeCode.OTHER_INCARNATION))]
        if self._forwards.is_full:
            busy = unknown(OutcomeCode.FORWARDS_FULL, self._settings.forward_ms)
            return [AnswerOutcome(request, busy)]
        deadline_ms = now_ms + self._settings.forward_ms
        pending = PendingForward(
            request, ticket.entry, ticket.incarnation, text, body, read, deadline_ms
        )
        return [self._forward_effect(self._forwards.open(pending), pending)]

    def _forward_effect(self, call: int, pending: PendingForward) -> SendForward:
        message = TicketForward(
            call,
            self._signer.entry,
            self._signer.incarnation,
            pending.owner,
            pending.owner_incarnation,
            pending.ticket,
            pending.body,
            pending.read,
        )
        return SendForward(pending.request, pending.owner, message)

    def _apply_key_effects(self, key_effects: list[KeyEffect], now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for effect in key_effects:
            if isinstance(effect, SendClaim):
                effects.append(effect)
                continue
            if effect.unused is not None:
                self._ticket_store.discard(effect.unused)
            effects.append(self._key_answer(effect, now_ms))
        return effects

    def _key_answer(self, effect: KeyBound | KeyRefused, now_ms: int) -> Effect:
        if isinstance(effect, KeyRefused):
            return AnswerOutcome(effect.request, effect.outcome)
        remaining_ms = self._ticket_store.remaining_ms(effect.ticket, now_ms)
        return AnswerRedirect(effect.request, effect.ticket, remaining_ms)


def _give_up(calls: list[PendingForward], code: OutcomeCode) -> list[Effect]:
    return [AnswerOutcome(pending.request, unknown(code)) for pending in calls]
