"""How a call to the platform ended."""

from enum import StrEnum


class PlatformOutcome(StrEnum):
    """What the shell saw of one call."""

    CHANGED = "changed"
    """200: the document came with its revision."""

    UNCHANGED = "unchanged"
    """204: nothing above the given revision."""

    MISSING = "missing"
    """404: no such document is published."""

    OVERLOADED = "overloaded"
    """503: the platform is over its rate."""

    FAILED = "failed"
    """No usable answer."""


ANSWERED = (PlatformOutcome.CHANGED, PlatformOutcome.UNCHANGED, PlatformOutcome.MISSING)
