"""The outcome of a run that must not repeat."""

from dataclasses import dataclass
from enum import StrEnum


class OutcomeKind(StrEnum):
    """What is known of a run: three values, and no fourth."""

    RAN = "ran"
    REFUSED_NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The answer to a run or a read.

    :param kind: what is known.
    :param code: what happened, as a short code.
    :param message: one sentence for people.
    :param todo: what the caller should do next.
    :param retry_after_ms: earliest useful time of another attempt, in ms from now; 0 for none.
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
    """Read an outcome's kind out of a message.

    :param text: as it came from another node.
    :returns: the kind, or None for a text that is none.
    """
    return _KIND_BY_VALUE.get(text)
