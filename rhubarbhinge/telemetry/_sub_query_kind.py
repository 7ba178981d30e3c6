"""Reasons for sending a sub-query."""

from enum import StrEnum


class SubQueryKind(StrEnum):
    """Why a sub-query was sent; all kinds but ``BASE`` are extra load."""

    BASE = "base"
    HEDGE = "hedge"
    RETRY = "retry"
