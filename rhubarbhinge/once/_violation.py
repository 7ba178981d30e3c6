"""Violations of the at-most-once guarantees in a history."""

from dataclasses import dataclass
from enum import StrEnum


class ViolationKind(StrEnum):
    """The guarantee that was violated."""

    MALFORMED = "malformed"
    SENT_TWICE = "sent-twice"
    SENT_UNMINTED = "sent-unminted"
    RAN_TWICE = "ran-twice"
    RAN_UNSENT = "ran-unsent"
    REFUSED_BUT_RAN = "refused-but-ran"
    REFUSED_THEN_SENT = "refused-then-sent"
    ANSWERED_WITHOUT_RUN = "answered-without-run"
    KEY_TWO_TICKETS = "key-two-tickets"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee in a history.

    :param kind: the guarantee.
    :param line: number of the line that shows the violation, counted from 1.
    :param subject: the ticket, the key or the malformed line.
    """

    kind: ViolationKind
    line: int
    subject: str
