"""Decisions of admission control."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Admitted:
    """The query is admitted."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The query is refused and was not run.

    :param retry_after_ms: time after which the caller may retry.
    """

    retry_after_ms: float


Decision = Admitted | Refused
