"""The owner's answer to a forwarded ticket."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TicketForwardReply:
    """The outcome of a ticket, as its owner knows it.

    :param call: number of the call at the asking entry.
    :param to_incarnation: incarnation of the entry that asked; another one drops the reply.
    :param ticket: the ticket's text.
    :param kind: one of ``ran``, ``refused_not_run`` and ``unknown``.
    :param code: what happened, as a short code.
    :param message: one sentence for people.
    :param todo: what the caller should do next.
    :param retry_after_ms: earliest useful time of another attempt, in ms from now; 0 for none.
    :param result: the upstream's result, when it ran.
    """

    call: int
    to_incarnation: int
    ticket: str
    kind: str
    code: str
    message: str
    todo: str
    retry_after_ms: int
    result: bytes
