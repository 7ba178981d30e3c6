"""Outcomes of at-most-once runs."""

from dataclasses import dataclass
from enum import StrEnum


class OutcomeKind(StrEnum):
    """What is known of a run; these three values are exhaustive."""

    RAN = "ran"
    REFUSED_NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The answer to a run or a read.

    :param kind: what is known of the run.
    :param code: the reason, as a short code.
    :param message: human-readable description in one sentence.
    :param todo: advice on what the caller should do next.
    :param retry_after_ms: delay before another attempt is useful, in ms; 0 for none.
    :param result: the upstream's result, when it ran.
    """

    kind: OutcomeKind
    code: str
    message: str
    todo: str
    retry_after_ms: int = 0
    result: bytes = b""


_KIND_BY_VALUE = {kind.value: kind for kind in OutcomeKind}


def kind_of(text: str) -> OutcomeKind | None:
    """Parse the kind of an outcome in a message.

    :param text: the text received from another node.
    :returns: the kind, or None if the text is not a valid kind.
    """
    return _KIND_BY_VALUE.get(text)
