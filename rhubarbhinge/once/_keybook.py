"""The book of idempotency keys: claims made here, and keys owned here."""

from dataclasses import dataclass, replace

from rhubarbhinge.once._codes import Code, not_run, unknown
from rhubarbhinge.once._effects import SendClaim
from rhubarbhinge.once._key_owners import KeyOwners
from rhubarbhinge.once._key_results import KeyBound, KeyEffect, KeyRefused
from rhubarbhinge.once._settings import OnceSettings
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._key_claim_reply import KeyClaimReply

BOUND = "bound"
HELD = "held"
YOUNG = "young"
LIST_OLD = "list-old"
NOT_OWNER = "not-owner"
FULL = "full"
_REFUSALS = {
    YOUNG: Code.KEY_OWNER_YOUNG,
    LIST_OLD: Code.KEY_LIST_OLD,
    NOT_OWNER: Code.KEY_NOT_OWNER,
    FULL: Code.KEY_FULL,
}


@dataclass(frozen=True, slots=True)
class _Binding:
    ticket: str
    digest: bytes
    until_ms: int


@dataclass(frozen=True, slots=True)
class _Claim:
    request: int
    key: str
    digest: bytes
    proposed: str
    ticket: str
    owners: tuple[str, ...]
    step: int
    deadline_ms: int


class KeyBook:
    """The book of idempotency keys: claims made here, and keys owned here.

    A claim goes to the first owner, which orders claims of the same key, and then, with the ticket
    that the first one holds, to the second. Only a key that both hold for the same ticket is used.

    :param entry: name of this entry.
    :param incarnation: its incarnation.
    :param settings: bounds.
    :param started_ms: start of this process on its own clock.
    """

    def __init__(self, entry: str, incarnation: int, settings: OnceSettings, started_ms: int):
        self._entry = entry
        self._incarnation = incarnation
        self._settings = settings
        self._started_ms = started_ms
        self._owners = KeyOwners(settings.key_window_ms)
        self._bindings: dict[str, _Binding] = {}
        self._claims: dict[int, _Claim] = {}
        self._next_call = 0

    def on_entries(self, listed: frozenset[str], confirmed_ms: int, now_ms: int) -> None:
        """Take the entries that the list of VMs names, on each change and each confirmation.

        :param listed: their names, with this one.
        :param confirmed_ms: when the list was last confirmed, on this entry's clock.
        :param now_ms: time on this entry's clock.
        """
        self._owners.on_entries(listed, confirmed_ms, now_ms)

    def start(
        self, request: int, key: str, digest: bytes, ticket: str, now_ms: int
    ) -> list[KeyEffect]:
        """Claim a key for a ticket that nobody has been shown yet.

        :param request: number of the caller's request.
        :param key: the tenant's name and the caller's key.
        :param digest: digest of the action and the body.
        :param ticket: text of the ticket.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        if not self._owners.is_current(now_ms):
            refusal = unknown(Code.KEY_LIST_OLD, self._settings.key_claim_ms)
            return [KeyRefused(request, refusal, ticket)]
        owners = self._owners.owners(key, now_ms)
        deadline_ms = now_ms + self._settings.key_claim_ms
        claim = _Claim(request, key, digest, ticket, ticket, owners, 0, deadline_ms)
        return [self._ask(claim)]

    def on_claim(self, claim: KeyClaim, now_ms: int) -> KeyClaimReply:
        """Answer a claim as an owner of the key.

        :param claim: the message.
        :param now_ms: time on this entry's clock.
        :returns: the reply.
        """
        self._forget(now_ms)
        held = self._bindings.get(claim.key)
        if held is not None:
            return self._reply(claim, HELD, held.ticket, held.digest)
        refusal = self._refusal(claim.key, now_ms)
        if refusal is not None:
            code, retry_after_ms = refusal
            return self._reply(claim, code, "", b"", retry_after_ms)
        until_ms = now_ms + self._settings.key_window_ms
        self._bindings[claim.key] = _Binding(claim.ticket, claim.digest, until_ms)
        return self._reply(claim, BOUND, claim.ticket, claim.digest)

    def on_reply(self, reply: KeyClaimReply, now_ms: int) -> list[KeyEffect]:
        """Take the answer of an owner of a key.

        :param reply: the message.
        :param now_ms: time on this entry's clock.
        :returns: the effects; none if the claim is over or is not ours.
        """
        claim = self._claims.get(reply.call)
        if claim is None or reply.to_incarnation != self._incarnation:
            return []
        if (reply.key, reply.from_entry) != (claim.key, claim.owners[claim.step]):
            return []
        del self._claims[reply.call]
        return [self._next_step(claim, reply, now_ms)]

    def on_peer_gone(self, entry: str, now_ms: int) -> list[KeyEffect]:
        """End the claims that wait for an entry that can't be reached.

        :param entry: its name.
        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        calls = [call for call, c in self._claims.items() if c.owners[c.step] == entry]
        return [self._give_up(call) for call in calls]

    def tick(self, now_ms: int) -> list[KeyEffect]:
        """End the claims that have waited too long, and forget old keys.

        :param now_ms: time on this entry's clock.
        :returns: the effects.
        """
        self._forget(now_ms)
        late = [call for call, claim in self._claims.items() if now_ms >= claim.deadline_ms]
        return [self._give_up(call) for call in late]

    def _ask(self, claim: _Claim) -> SendClaim:
        call = self._next_call
        self._next_call += 1
        self._claims[call] = claim
        to = claim.owners[claim.step]
        message = KeyClaim(
            call, self._entry, self._incarnation, to, claim.key, claim.digest, claim.ticket
        )
        return SendClaim(to, message)

    def _next_step(self, claim: _Claim, reply: KeyClaimReply, now_ms: int) -> KeyEffect:
        first = claim.step == 0
        unused = claim.proposed if first and reply.ticket != claim.proposed else None
        if now_ms >= claim.deadline_ms:
            return KeyRefused(claim.request, unknown(Code.KEY_OWNER_GONE), unused)
        if reply.code in _REFUSALS:
            refusal = unknown(_REFUSALS[reply.code], reply.retry_after_ms)
            return KeyRefused(claim.request, refusal, unused)
        if reply.digest != claim.digest:
            return KeyRefused(claim.request, not_run(Code.KEY_MISMATCH), unused)
        if not first and reply.ticket != claim.ticket:
            return KeyRefused(claim.request, unknown(Code.KEY_CONFLICT), unused)
        if claim.step + 1 < len(claim.owners):
            return self._ask(replace(claim, ticket=reply.ticket, step=claim.step + 1))
        shown = claim.proposed == reply.ticket
        return KeyBound(claim.request, reply.ticket, None if shown else claim.proposed)

    def _give_up(self, call: int) -> KeyEffect:
        claim = self._claims.pop(call)
        refusal = unknown(Code.KEY_OWNER_GONE, self._settings.key_claim_ms)
        return KeyRefused(claim.request, refusal, None)

    def _refusal(self, key: str, now_ms: int) -> tuple[str, int] | None:
        age_ms = now_ms - self._started_ms
        if age_ms < self._settings.key_window_ms:
            return YOUNG, self._settings.key_window_ms - age_ms
        if not self._owners.is_current(now_ms):
            return LIST_OLD, self._settings.key_claim_ms
        if self._entry not in self._owners.owners(key, now_ms):
            return NOT_OWNER, self._settings.key_claim_ms
        if len(self._bindings) >= self._settings.most_keys:
            oldest = next(iter(self._bindings.values()))
            return FULL, max(1, oldest.until_ms - now_ms)
        return None

    def _reply(
        self, claim: KeyClaim, code: str, ticket: str, digest: bytes, retry_after_ms: int = 0
    ) -> KeyClaimReply:
        return KeyClaimReply(
            claim.call,
            claim.from_incarnation,
            self._entry,
            claim.key,
            ticket,
            digest,
            code,
            retry_after_ms,
        )

    def _forget(self, now_ms: int) -> None:
        while self._bindings:
            key, binding = next(iter(self._bindings.items()))
            if now_ms < binding.until_ms:
                return
            del self._bindings[key]
