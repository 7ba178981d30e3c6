"""Codes of the replies to a claim of an idempotency key."""

from enum import StrEnum


class KeyReplyCode(StrEnum):
    """Whether an owner of a key holds a binding for it, or why it refuses the claim."""

    HELD = "held"
    NOT_HELD = "not-held"
    YOUNG = "young"
    LIST_OLD = "list-old"
    NOT_OWNER = "not-owner"
    FULL = "full"
