"""The tickets minted by one entry, with their states and outcomes."""

from rhubarbhinge.once._body_digest import body_digest
from rhubarbhinge.once._effects import Effect, StartRun
from rhubarbhinge.once._invalid_ticket import InvalidTicket
from rhubarbhinge.once._once_settings import OnceSettings
from rhubarbhinge.once._outcome import Outcome, OutcomeKind
from rhubarbhinge.once._outcome_codes import OutcomeCode, not_run, outcome, unknown
from rhubarbhinge.once._outcome_effects import outcome_effect
from rhubarbhinge.once._requester import Requester
from rhubarbhinge.once._send_permit import SendPermit
from rhubarbhinge.once._signer import Signer
from rhubarbhinge.once._ticket import Ticket
from rhubarbhinge.once._ticket_record import TicketRecord, TicketState

NOT_STARTED_RETRY_MS = 1_000
"""Retry delay returned for a read of an unused ticket, in ms."""


class TicketStore:
    """The tickets minted by one entry, each with its state and outcome.

    :param signer: mints and verifies tickets under this entry's name and incarnation.
    :param settings: limits.
    """

    def __init__(self, signer: Signer, settings: OnceSettings):
        self._signer = signer
        self._settings = settings
        self._records: dict[int, TicketRecord] = {}
        self._running: set[int] = set()
        self._next_sequence = 0
        self._kept_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def running(self) -> int:
        """Return the number of tickets that are consumed and have no outcome yet.

        :returns: the number.
        """
        return len(self._running)

    def unused(self, now_ms: int) -> int:
        """Return the number of tickets that have neither expired nor been used.

        :param now_ms: time on this entry's clock.
        :returns: the number.
        """
        return sum(_is_unused(record, now_ms) for record in self._records.values())

    def open_until_ms(self, now_ms: int) -> int:
        """Return the time by which all open tickets have expired and all runs have ended.

        :param now_ms: time on this entry's clock.
        :returns: time on this entry's clock; now if nothing is open.
        """
        ends = [r.ticket.expires_ms for r in self._records.values() if _is_unused(r, now_ms)]
        ends += [self._records[sequence].deadline_ms for sequence in self._running]
        return max(ends, default=now_ms)

    def full_for_ms(self, now_ms: int) -> int:
        """Return for how long no ticket can be minted because the store is full.

        :param now_ms: time on this entry's clock.
        :returns: time until the oldest record expires, in ms; 0 if the store is not full.
        """
        if len(self._records) < self._settings.most_tickets:
            return 0
        oldest = next(iter(self._records.values()))
        return max(1, oldest.ticket.expires_ms + self._settings.keep_ms - now_ms)

    def mint(self, action: str, digest: bytes, now_ms: int) -> str:
        """Mint a ticket; the store must not be full.

        :param action: name of the action.
        :param digest: digest of the action and the body.
        :param now_ms: time on this entry's clock.
        :returns: the ticket's text.
        """
        sequence = self._next_sequence
        self._next_sequence += 1
        expires_ms = now_ms + self._settings.lifetime_ms
        signer = self._signer
        ticket = Ticket(signer.entry, signer.incarnation, sequence, action, expires_ms, digest)
        text = self._signer.mint(sequence, action, digest, expires_ms)
        self._records[sequence] = TicketRecord(ticket, text)
        return text

    def remaining_ms(self, text: str, now_ms: int) -> int:
        """Return the remaining lifetime of a ticket.

        :param text: the ticket's text.
        :param now_ms: time on this entry's clock.
        :returns: time in ms; 0 if the ticket has expired or is another entry's.
        """
        record = self._own_record(text)
        return 0 if record is None else max(0, record.ticket.expires_ms - now_ms)

    def discard(self, text: str) -> None:
        """Discard a ticket that has not been returned to any caller.

        :param text: the ticket's text.
        """
        record = self._own_record(text)
        if record is not None and record.state is TicketState.MINTED:
            del self._records[record.ticket.sequence]

    def run(
        self, requester: Requester, ticket: Ticket, text: str, body: bytes, now_ms: int
    ) -> list[Effect]:
        """Run a ticket of this store once; a repeated request gets the outcome of the same run.

        :param requester: the requester of the outcome.
        :param ticket: the verified ticket.
        :param text: its text.
        :param body: the caller's body.
        :param now_ms: time on this entry's clock.
        :returns: the effects; on ``StartRun`` the ticket is already marked as consumed.
        """
        if body_digest(ticket.action, body) != ticket.digest:
            return [outcome_effect(requester, text, not_run(OutcomeCode.BODY_MISMATCH))]
        record = self._records.get(ticket.sequence)
        if record is None:
            return [outcome_effect(requester, text, unknown(OutcomeCode.EXPIRED))]
        if record.state is TicketState.MINTED:
            return self._start(record, requester, text, body, now_ms)
        return self._wait(record, requester, text)

    def read(self, requester: Requester, ticket: Ticket, text: str, now_ms: int) -> list[Effect]:
        """Read the outcome of a ticket of this store.

        :param requester: the requester of the outcome.
        :param ticket: the verified ticket.
        :param text: its text.
        :param now_ms: time on this entry's clock.
        :returns: the effects; never a run.
        """
        record = self._records.get(ticket.sequence)
        if record is None:
            return [outcome_effect(requester, text, unknown(OutcomeCode.EXPIRED))]
        if record.state is not TicketState.MINTED:
            return self._wait(record, requester, text)
        if now_ms >= ticket.expires_ms:
            record.waiters.append(requester)
            return self._finish(record, not_run(OutcomeCode.EXPIRED_UNUSED))
        return [
            outcome_effect(requester, text, unknown(OutcomeCode.NOT_STARTED, NOT_STARTED_RETRY_MS))
        ]

    def on_send(self, text: str, now_ms: int) -> SendPermit:
        """Return whether a run may be sent, immediately before its first byte is sent.

        This detects that the process was suspended after ``StartRun`` until the ticket expired or
        the run's deadline passed. Nothing is sent then, and the run is known not to have run.

        :param text: the ticket's text.
        :param now_ms: time on this entry's clock, read after everything that can block.
        :returns: the permit; it allows sending at most once for a ticket.
        """
        record = self._own_record(text)
        if record is None or record.state is not TicketState.CONSUMED:
            return SendPermit(False)
        if now_ms >= min(record.deadline_ms, record.ticket.expires_ms):
            late = not_run(OutcomeCode.LATE_SEND)
            return SendPermit(False, tuple(self._finish(record, late)))
        record.state = TicketState.SENT
        return SendPermit(True)

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
        record = self._own_record(text)
        if record is None or record.state is TicketState.MINTED:
            return []
        if record.state is TicketState.DONE and not _may_replace(record.outcome, kind):
            return []
        late = record.state is TicketState.SENT and now_ms >= record.deadline_ms
        if late and kind is OutcomeKind.REFUSED_NOT_RUN:
            kind = OutcomeKind.UNKNOWN
        return self._finish(record, self._outcome_of(kind, payload, retry_after_ms))

    def end_late_runs(self, now_ms: int) -> list[Effect]:
        """End the runs whose deadline has passed.

        :param now_ms: time on this entry's clock.
        :returns: the answers to the waiting requesters.
        """
        effects: list[Effect] = []
        for sequence in sorted(self._running):
            record = self._records[sequence]
            if now_ms < record.deadline_ms:
                continue
            sent = record.state is TicketState.SENT
            run_outcome = unknown(OutcomeCode.DEADLINE) if sent else not_run(OutcomeCode.LATE_SEND)
            effects += self._finish(record, run_outcome)
        return effects

    def remove_expired(self, now_ms: int) -> None:
        """Remove the tickets whose outcome is no longer kept.

        :param now_ms: time on this entry's clock.
        """
        while self._records:
            sequence, record = next(iter(self._records.items()))
            if now_ms < record.ticket.expires_ms + self._settings.keep_ms:
                return
            if sequence in self._running:
                return
            del self._records[sequence]
            if record.outcome is not None:
                self._kept_bytes -= len(record.outcome.result)

    def _start(
        self, record: TicketRecord, requester: Requester, text: str, body: bytes, now_ms: int
    ) -> list[Effect]:
        if now_ms >= record.ticket.expires_ms:
            record.waiters.append(requester)
            return self._finish(record, not_run(OutcomeCode.EXPIRED_UNUSED))
        record.state = TicketState.CONSUMED
        record.deadline_ms = now_ms + self._settings.run_ms
        record.waiters.append(requester)
        self._running.add(record.ticket.sequence)
        return [StartRun(text, record.ticket.action, body, record.deadline_ms)]

    def _wait(self, record: TicketRecord, requester: Requester, text: str) -> list[Effect]:
        if record.outcome is not None:
            return [outcome_effect(requester, text, record.outcome)]
        if requester in record.waiters:
            return []
        if len(record.waiters) >= self._settings.most_waiters:
            late = unknown(OutcomeCode.WAITERS_FULL, self._settings.run_ms)
            return [outcome_effect(requester, text, late)]
        record.waiters.append(requester)
        return []

    def _finish(self, record: TicketRecord, run_outcome: Outcome) -> list[Effect]:
        record.state = TicketState.DONE
        record.outcome = run_outcome
        self._kept_bytes += len(run_outcome.result)
        self._running.discard(record.ticket.sequence)
        waiters, record.waiters = record.waiters, []
        return [outcome_effect(requester, record.text, run_outcome) for requester in waiters]

    def _outcome_of(self, kind: OutcomeKind, payload: bytes, retry_after_ms: int) -> Outcome:
        if kind is OutcomeKind.REFUSED_NOT_RUN:
            return not_run(OutcomeCode.UPSTREAM_REFUSED, retry_after_ms)
        if kind is OutcomeKind.UNKNOWN:
            return unknown(OutcomeCode.UPSTREAM_UNKNOWN)
        if not self._has_room(len(payload)):
            return outcome(kind, OutcomeCode.RESULT_DROPPED)
        return outcome(kind, OutcomeCode.DONE, result=payload)

    def _has_room(self, size: int) -> bool:
        if size > self._settings.most_result_bytes:
            return False
        return self._kept_bytes + size <= self._settings.most_kept_bytes

    def _own_record(self, text: str) -> TicketRecord | None:
        ticket = self._signer.verify(text)
        if isinstance(ticket, InvalidTicket) or not self._signer.owns(ticket):
            return None
        return self._records.get(ticket.sequence)


def _is_unused(record: TicketRecord, now_ms: int) -> bool:
    return record.state is TicketState.MINTED and now_ms < record.ticket.expires_ms


def _may_replace(old: Outcome | None, kind: OutcomeKind) -> bool:
    """Return whether a late outcome replaces a previous one: only ``ran`` replaces ``unknown``."""
    was_unknown = old is not None and old.kind is OutcomeKind.UNKNOWN
    return was_unknown and kind is OutcomeKind.RAN
