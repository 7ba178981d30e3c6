"""The answer of one owner of an idempotency key."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyClaimReply:
    """What an owner of a key holds after a claim.

    :param call: number of the call at the asking entry.
    :param to_incarnation: incarnation of the entry that asked; another one drops the reply.
    :param from_entry: name of the answering owner.
    :param key: the key.
    :param ticket: text of the ticket that the key is bound to; empty when refused.
    :param digest: digest that the key is bound to; empty when refused.
    :param code: ``held``, ``not-held``, ``young``, ``list-old``, ``not-owner`` or ``full``.
    :param retry_after_ms: when refused, earliest useful time of another claim, in ms from now.
    """

    call: int
    to_incarnation: int
    from_entry: str
    key: str
    ticket: str
    digest: bytes
    code: str
    retry_after_ms: int
