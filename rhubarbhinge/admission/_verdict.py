"""Whether a query is taken."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Admitted:
    """The query is taken."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The query is refused and was not run.

    :param retry_after_ms: when to come back.
    """

    retry_after_ms: float


Verdict = Admitted | Refused
