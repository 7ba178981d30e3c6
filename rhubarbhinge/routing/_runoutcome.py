"""Outcome of a run."""

from enum import StrEnum


class RunOutcome(StrEnum):
    """Outcome of a run, as far as the relay can prove it."""

    #: The searcher confirmed that it ran.
    RAN = "ran"
    #: No byte was sent, or the searcher confirmed that it was not run.
    REFUSED_NOT_RUN = "refused_not_run"
    #: It was sent, and its outcome cannot be proved.
    UNKNOWN = "unknown"
