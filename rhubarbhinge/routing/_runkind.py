"""How a request that must not repeat ended."""

from enum import StrEnum


class RunKind(StrEnum):
    """How a run ended, as far as the relay can prove it."""

    #: The searcher answered that it ran.
    RAN = "ran"
    #: No byte was sent, or the searcher said that it was not run.
    REFUSED_NOT_RUN = "refused_not_run"
    #: It was sent, and nothing proves how it ended.
    UNKNOWN = "unknown"
