"""Codes of the replies to a claim of an idempotency key."""

from enum import StrEnum


class KeyReplyCode(StrEnum):
    """What an owner of a key holds, or why it doesn't say."""

    HELD = "held"
    NOT_HELD = "not-held"
    YOUNG = "young"
    LIST_OLD = "list-old"
    NOT_OWNER = "not-owner"
    FULL = "full"
