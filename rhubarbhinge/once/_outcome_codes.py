"""Outcome codes with their messages and advice for the caller."""

from enum import StrEnum

from rhubarbhinge.once._outcome import Outcome, OutcomeKind

READ_AGAIN = "Read the ticket's outcome again with GET; do not send the request anew."
CHECK_UPSTREAM = "Check at the upstream whether it ran before you send the request anew."
NEW_TICKET = "It did not run: ask for a new ticket (and use a new key) to try again."
CHECK_OR_WAIT = "Ask again after the given time, or check at the upstream."


class OutcomeCode(StrEnum):
    """Reason for an outcome, as a short code."""

    DONE = "done"
    RESULT_DROPPED = "result-dropped"
    FORGED = "ticket-forged"
    MALFORMED = "ticket-malformed"
    EXPIRED = "ticket-expired"
    EXPIRED_UNUSED = "ticket-expired-unused"
    OTHER_INCARNATION = "ticket-other-incarnation"
    BODY_MISMATCH = "body-mismatch"
    NOT_STARTED = "not-started"
    FULL = "tickets-full"
    DRAINING = "draining"
    FORWARDS_FULL = "forwards-full"
    WAITERS_FULL = "waiters-full"
    OWNER_GONE = "owner-gone"
    OWNER_SILENT = "owner-silent"
    DEADLINE = "run-deadline"
    LATE_SEND = "late-send"
    DUPLICATE = "run-duplicate"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_UNKNOWN = "upstream-unknown"
    KEY_OWNER_YOUNG = "key-owner-young"
    KEY_OWNER_GONE = "key-owner-gone"
    KEY_NOT_OWNER = "key-not-owner"
    KEY_LIST_OLD = "key-list-old"
    KEY_FULL = "key-full"
    KEY_CONFLICT = "key-conflict"
    KEY_MISMATCH = "key-mismatch"


_TEXTS: dict[OutcomeCode, tuple[str, str]] = {
    OutcomeCode.DONE: ("The request ran.", ""),
    OutcomeCode.RESULT_DROPPED: ("The request ran; there was no room for its result.", ""),
    OutcomeCode.FORGED: ("The ticket's signature is not this system's.", CHECK_UPSTREAM),
    OutcomeCode.MALFORMED: ("This is not the text of a ticket.", CHECK_UPSTREAM),
    OutcomeCode.EXPIRED: ("The ticket expired and its outcome is no longer kept.", CHECK_UPSTREAM),
    OutcomeCode.EXPIRED_UNUSED: ("The ticket expired before it was used.", NEW_TICKET),
    OutcomeCode.OTHER_INCARNATION: ("The process that held the ticket is gone.", CHECK_UPSTREAM),
    OutcomeCode.BODY_MISMATCH: (
        "The ticket is for another body; this body was not run.",
        "Send the body that the ticket was asked for, or ask for a new ticket.",
    ),
    OutcomeCode.NOT_STARTED: (
        "The ticket has not been used yet.",
        "Send the request to the ticket.",
    ),
    OutcomeCode.FULL: (
        "No more tickets can be held at present.",
        "Ask again after the given time.",
    ),
    OutcomeCode.DRAINING: ("This entry is stopping and gives no tickets.", "Ask another entry."),
    OutcomeCode.FORWARDS_FULL: ("The ticket's owner was not asked: too many calls.", READ_AGAIN),
    OutcomeCode.WAITERS_FULL: ("The request is running and too many wait for it.", READ_AGAIN),
    OutcomeCode.OWNER_GONE: ("The process that holds the ticket can't be reached.", CHECK_UPSTREAM),
    OutcomeCode.OWNER_SILENT: ("The process that holds the ticket did not answer.", READ_AGAIN),
    OutcomeCode.DEADLINE: ("The upstream did not answer in time.", READ_AGAIN),
    OutcomeCode.LATE_SEND: ("The request was too late to be sent, and was not.", NEW_TICKET),
    OutcomeCode.DUPLICATE: ("The relay was given this run before.", CHECK_UPSTREAM),
    OutcomeCode.UPSTREAM_REFUSED: ("The upstream refused the request.", NEW_TICKET),
    OutcomeCode.UPSTREAM_UNKNOWN: ("The upstream's answer was lost.", CHECK_UPSTREAM),
    OutcomeCode.KEY_OWNER_YOUNG: (
        "A process that could know this key has not been up for the key's window.",
        CHECK_OR_WAIT,
    ),
    OutcomeCode.KEY_OWNER_GONE: (
        "A process that could know this key can't be reached.",
        CHECK_OR_WAIT,
    ),
    OutcomeCode.KEY_NOT_OWNER: (
        "Two processes disagree on who could know this key.",
        CHECK_OR_WAIT,
    ),
    OutcomeCode.KEY_LIST_OLD: (
        "The list of processes that could know this key is too old.",
        "Ask again after the given time, or send the request without a key.",
    ),
    OutcomeCode.KEY_FULL: (
        "No more keys can be held at present.",
        "Ask again after the given time.",
    ),
    OutcomeCode.KEY_CONFLICT: ("The key is bound to two tickets.", CHECK_UPSTREAM),
    OutcomeCode.KEY_MISMATCH: (
        "The key was used with another action or body; this one was not run.",
        "Use a new key for a new request.",
    ),
}


def outcome(
    kind: OutcomeKind, code: OutcomeCode, *, retry_after_ms: int = 0, result: bytes = b""
) -> Outcome:
    """Return an outcome with the message and advice of its code.

    :param kind: what is known of the run.
    :param code: the reason.
    :param retry_after_ms: delay before another attempt is useful, in ms.
    :param result: the upstream's result, when it ran.
    :returns: the outcome.
    """
    message, todo = _TEXTS[code]
    return Outcome(kind, code.value, message, todo, retry_after_ms, result)


def not_run(code: OutcomeCode, retry_after_ms: int = 0) -> Outcome:
    """Return the outcome of a refused request that is known not to have run.

    :param code: the reason.
    :param retry_after_ms: delay before another attempt is useful, in ms.
    :returns: the outcome.
    """
    return outcome(OutcomeKind.REFUSED_NOT_RUN, code, retry_after_ms=retry_after_ms)


def unknown(code: OutcomeCode, retry_after_ms: int = 0) -> Outcome:
    """Return the outcome of a request that may or may not have run.

    :param code: the reason.
    :param retry_after_ms: delay before another read is useful, in ms.
    :returns: the outcome.
    """
    return outcome(OutcomeKind.UNKNOWN, code, retry_after_ms=retry_after_ms)
