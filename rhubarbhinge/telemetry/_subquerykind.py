"""Why a sub-query was sent."""

from enum import StrEnum


class SubQueryKind(StrEnum):
    """Why a sub-query was sent; all but the base are extra load."""

    BASE = "base"
    HEDGE = "hedge"
    RETRY = "retry"
