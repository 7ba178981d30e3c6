"""Bindings of the idempotency keys that an entry owns."""

from dataclasses import dataclass, replace

from rhubarbhinge.once._key_claim_step import KeyClaimStep
from rhubarbhinge.once._key_owners import KeyOwners
from rhubarbhinge.once._key_reply_code import KeyReplyCode
from rhubarbhinge.once._once_settings import OnceSettings
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._key_claim_reply import KeyClaimReply


@dataclass(frozen=True, slots=True)
class _Binding:
    ticket: str
    digest: bytes
    confirmed: bool
    keep_until_ms: int


class KeyBindings:
    """The idempotency keys that an entry owns, and the ticket that each is bound to.

    A binding is kept for the key window after the last claim of its key.

    :param entry: name of this entry.
    :param settings: limits.
    :param started_ms: start of this process on its own clock.
    :param owners: the ranking of entries.
    """

    def __init__(self, entry: str, settings: OnceSettings, started_ms: int, owners: KeyOwners):
        self._entry = entry
        self._settings = settings
        self._started_ms = started_ms
        self._owners = owners
        self._bindings: dict[str, _Binding] = {}

    def on_claim(self, claim: KeyClaim, now_ms: int) -> KeyClaimReply:
        """Handle a claim of a key.

        :param claim: the message.
        :param now_ms: time on this entry's clock.
        :returns: the reply.
        """
        self.remove_expired(now_ms)
        held = self._bindings.get(claim.key)
        if held is not None:
            return self._on_held(claim, held, now_ms)
        refusal = self._refusal(claim, now_ms)
        if refusal is not None:
            return self._reply(claim, *refusal)
        binding = _Binding(claim.ticket, claim.digest, claim.step == KeyClaimStep.COPY, 0)
        return self._bind(claim, binding, now_ms)

    def remove_expired(self, now_ms: int) -> None:
        """Remove the bindings whose window has passed.

        :param now_ms: time on this entry's clock.
        """
        while self._bindings:
            key, binding = next(iter(self._bindings.items()))
            if now_ms < binding.keep_until_ms:
                return
            del self._bindings[key]

    def _on_held(self, claim: KeyClaim, held: _Binding, now_ms: int) -> KeyClaimReply:
        if claim.step == KeyClaimStep.LOOKUP and not held.confirmed:
            return self._reply(claim, KeyReplyCode.NOT_HELD, self._settings.key_claim_ms)
        confirms = claim.step == KeyClaimStep.COPY and claim.ticket == held.ticket
        return self._bind(claim, replace(held, confirmed=held.confirmed or confirms), now_ms)

    def _bind(self, claim: KeyClaim, binding: _Binding, now_ms: int) -> KeyClaimReply:
        keep_until_ms = now_ms + self._settings.key_window_ms
        self._bindings.pop(claim.key, None)
        self._bindings[claim.key] = replace(binding, keep_until_ms=keep_until_ms)
        return self._reply(claim, KeyReplyCode.HELD, 0, binding)

    def _refusal(self, claim: KeyClaim, now_ms: int) -> tuple[KeyReplyCode, int] | None:
        retry_ms = self._settings.key_claim_ms
        if claim.step == KeyClaimStep.LOOKUP:
            return KeyReplyCode.NOT_HELD, retry_ms
        age_ms = now_ms - self._started_ms
        if age_ms < self._owners.delisted_rank_ms:
            return KeyReplyCode.YOUNG, self._owners.delisted_rank_ms - age_ms
        if not self._owners.is_current(now_ms):
            return KeyReplyCode.LIST_OLD, retry_ms
        if not self._is_owner(claim.key, now_ms):
            return KeyReplyCode.NOT_OWNER, retry_ms
        if len(self._bindings) >= self._settings.most_keys:
            oldest = next(iter(self._bindings.values()))
            return KeyReplyCode.FULL, max(1, oldest.keep_until_ms - now_ms)
        return None

    def _is_owner(self, key: str, now_ms: int) -> bool:
        listed = self._owners.is_listed(self._entry)
        return listed and self._entry in self._owners.owners(key, now_ms)

    def _reply(
        self,
        claim: KeyClaim,
        code: KeyReplyCode,
        retry_after_ms: int,
        held: _Binding | None = None,
    ) -> KeyClaimReply:
        return KeyClaimReply(
            claim.call,
            claim.from_incarnation,
            self._entry,
            claim.key,
            "" if held is None else held.ticket,
            b"" if held is None else held.digest,
            code.value,
            retry_after_ms,
        )
