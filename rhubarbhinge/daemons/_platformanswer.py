"""Read the platform's answer to a poll of a document."""

from dataclasses import dataclass

from rhubarbhinge.control import PlatformOutcome
from rhubarbhinge.web import Failure, Reply

_OUTCOME_BY_STATUS = {
    200: PlatformOutcome.CHANGED,
    204: PlatformOutcome.UNCHANGED,
    404: PlatformOutcome.MISSING,
    503: PlatformOutcome.OVERLOADED,
}


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """What a call to the platform gave.

    :param outcome: how it ended.
    :param revision: the document's revision, 0 without a document.
    :param data: the document's bytes, empty without a document.
    """

    outcome: PlatformOutcome
    revision: int = 0
    data: bytes = b""


def platform_answer(result: Reply | Failure) -> PlatformAnswer:
    """Read the outcome of a call.

    :param result: what the HTTP client told.
    :returns: the answer; a document without a proper ``Revision`` header is a failure.
    """
    if isinstance(result, Failure):
        return PlatformAnswer(PlatformOutcome.FAILED)
    outcome = _OUTCOME_BY_STATUS.get(result.status, PlatformOutcome.FAILED)
    if outcome is not PlatformOutcome.CHANGED:
        return PlatformAnswer(outcome)
    revision = result.headers.get("revision", "")
    if not revision.isascii() or not revision.isdigit():
        return PlatformAnswer(PlatformOutcome.FAILED)
    return PlatformAnswer(outcome, int(revision), result.body)
