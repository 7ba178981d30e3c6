"""Idempotency keys: claims made by this entry, and keys owned by it."""

from dataclasses import dataclass, replace

from rhubarbhinge.once._effects import SendClaim
from rhubarbhinge.once._key_bindings import KeyBindings
from rhubarbhinge.once._key_claim_step import KeyClaimStep
from rhubarbhinge.once._key_owners import KeyOwners
from rhubarbhinge.once._key_reply_code import KeyReplyCode
from rhubarbhinge.once._key_results import KeyBound, KeyEffect, KeyRefused
from rhubarbhinge.once._once_settings import OnceSettings
from rhubarbhinge.once._outcome import Outcome
from rhubarbhinge.once._outcome_codes import OutcomeCode, not_run, unknown
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._key_claim_reply import KeyClaimReply

_CODE_BY_REPLY: dict[str, OutcomeCode] = {
    KeyReplyCode.NOT_HELD: OutcomeCode.KEY_OWNER_GONE,
    KeyReplyCode.YOUNG: OutcomeCode.KEY_OWNER_YOUNG,
    KeyReplyCode.LIST_OLD: OutcomeCode.KEY_LIST_OLD,
    KeyReplyCode.NOT_OWNER: OutcomeCode.KEY_NOT_OWNER,
    KeyReplyCode.FULL: OutcomeCode.KEY_FULL,
}


@dataclass(frozen=True, slots=True)
class _Claim:
    request: int
    key: str
    digest: bytes
    proposed: str
    ticket: str
    owners: tuple[str, ...]
    step: KeyClaimStep
    deadline_ms: int
    refusal: Outcome | None = None

    @property
    def asked(self) -> str:
        return self.owners[0] if self.step is KeyClaimStep.ORDER else self.owners[-1]


class IdempotencyKeys:
    """Idempotency keys: claims made by this entry, and keys owned by it.

    A claim is sent to the first owner, which orders the claims of a key, and then, with the ticket
    that the first owner holds, to the second. A ticket is returned for a key only if both owners
    hold it, or if the first cannot answer and the second holds a copy confirmed by the first.

    :param entry: name of this entry.
    :param incarnation: its incarnation.
    :param settings: limits.
    :param started_ms: start of this process on its own clock.
    """

    def __init__(self, entry: str, incarnation: int, settings: OnceSettings, started_ms: int):
        self._entry = entry
        self._incarnation = incarnation
        self._claim_timeout_ms = settings.key_claim_ms
        self._owners = KeyOwners(settings.key_window_ms)
        self._bindings = KeyBindings(entry, settings, started_ms, self._owners)
        self._claims: dict[int, _Claim] = {}
        self._next_call = 0

    def on_entries(self, listed: frozenset[str], confirmed_ms: int, now_ms: int) -> None:
        """Update the entries on the list of VMs, on each change and each confirmation.

        :param listed: their names, including this one.
        :param confirmed_ms: when the list was last confirmed, on this entry's clock.
        :param now_ms: time on this entry's clock.
        """
        self._owners.on_entries(listed, confirmed_ms, now_ms)

    def start(
        self, request: int, key: str, digest: bytes, ticket: str, now_ms: int
    ) -> list[KeyEffect]:
        """Claim a key for a ticket that has not been returned to any caller yet.

        :param request: number of the caller's request.
        :param key: the workspace's name and the caller's key.
        :param digest: digest of the action and the body.
        :param ticket: text of the ticket.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        owners = self._owners.owners(key, now_ms)
        if not owners or not self._owners.is_current(now_ms):
            refusal = unknown(OutcomeCode.KEY_LIST_OLD, self._claim_timeout_ms)
            return [KeyRefused(request, refusal, ticket)]
        deadline_ms = now_ms + self._claim_timeout_ms
        claim = _Claim(
            request, key, digest, ticket, ticket, owners, KeyClaimStep.ORDER, deadline_ms
        )
        return [self._ask(claim)]

    def on_claim(self, claim: KeyClaim, now_ms: int) -> KeyClaimReply:
        """Handle a claim as an owner of the key.

        :param claim: the message.
        :param now_ms: time on this entry's clock.
        :returns: the reply.
        """
        return self._bindings.on_claim(claim, now_ms)

    def on_reply(self, reply: KeyClaimReply, now_ms: int) -> list[KeyEffect]:
        """Handle the reply of an owner of a key.

        :param reply: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects; none if the claim is closed or belongs to another incarnation.
        """
        claim = self._claims.get(reply.call)
        if claim is None or reply.to_incarnation != self._incarnation:
            return []
        if (reply.key, reply.from_entry) != (claim.key, claim.asked):
            return []
        del self._claims[reply.call]
        if now_ms >= claim.deadline_ms:
            return [
                self._fall_back(
                    claim, unknown(OutcomeCode.KEY_OWNER_GONE, self._claim_timeout_ms), now_ms
                )
            ]
        if reply.code != KeyReplyCode.HELD:
            code = _CODE_BY_REPLY.get(reply.code, OutcomeCode.KEY_OWNER_GONE)
            return [self._fall_back(claim, unknown(code, reply.retry_after_ms), now_ms)]
        return [self._on_held(claim, reply)]

    def on_peer_gone(self, entry: str, now_ms: int) -> list[KeyEffect]:
        """Fail the claims that wait for an unreachable entry, or fall back to the second owner.

        :param entry: its name.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        return self._give_up(
            [c for c, claim in self._claims.items() if claim.asked == entry], now_ms
        )

    def tick(self, now_ms: int) -> list[KeyEffect]:
        """Fail the overdue claims, or fall back to the second owner, and remove expired bindings.

        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        self._bindings.remove_expired(now_ms)
        late = [call for call, claim in self._claims.items() if now_ms >= claim.deadline_ms]
        return self._give_up(late, now_ms)

    def _ask(self, claim: _Claim) -> SendClaim:
        call = self._next_call
        self._next_call += 1
        self._claims[call] = claim
        message = KeyClaim(
            call,
            self._entry,
            self._incarnation,
            claim.asked,
            int(claim.step),
            claim.key,
            claim.digest,
            claim.ticket,
        )
        return SendClaim(claim.asked, message)

    def _on_held(self, claim: _Claim, reply: KeyClaimReply) -> KeyEffect:
        unused = None if reply.ticket == claim.proposed else claim.proposed
        if reply.digest != claim.digest:
            return KeyRefused(claim.request, not_run(OutcomeCode.KEY_MISMATCH), unused)
        if claim.step is KeyClaimStep.ORDER and len(claim.owners) > 1:
            return self._ask(replace(claim, ticket=reply.ticket, step=KeyClaimStep.COPY))
        if claim.step is KeyClaimStep.COPY and reply.ticket != claim.ticket:
            return KeyRefused(
                claim.request, unknown(OutcomeCode.KEY_CONFLICT, self._claim_timeout_ms), None
            )
        return KeyBound(claim.request, reply.ticket, unused)

    def _give_up(self, calls: list[int], now_ms: int) -> list[KeyEffect]:
        gone = unknown(OutcomeCode.KEY_OWNER_GONE, self._claim_timeout_ms)
        return [self._fall_back(self._claims.pop(call), gone, now_ms) for call in calls]

    def _fall_back(self, claim: _Claim, refusal: Outcome, now_ms: int) -> KeyEffect:
        """Look up the second owner's copy if the first owner cannot answer, else refuse."""
        if claim.step is not KeyClaimStep.ORDER or len(claim.owners) == 1:
            return KeyRefused(claim.request, claim.refusal or refusal, None)
        deadline_ms = now_ms + self._claim_timeout_ms
        lookup = replace(claim, step=KeyClaimStep.LOOKUP, deadline_ms=deadline_ms, refusal=refusal)
        return self._ask(lookup)
