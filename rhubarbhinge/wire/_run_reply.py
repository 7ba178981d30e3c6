"""A relay's answer to a run."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunReply:
    """What a relay knows of a run that it was given.

    :param entry_incarnation: incarnation of the entry that asked; another one drops the reply.
    :param ticket: the ticket's text.
    :param kind: one of ``ran``, ``refused_not_run`` and ``unknown``.
    :param code: what happened, as a short code.
    :param retry_after_ms: earliest useful time of another attempt, in ms from now; 0 for none.
    :param result: the upstream's result, when it ran.
    """

    entry_incarnation: int
    ticket: str
    kind: str
    code: str
    retry_after_ms: int
    result: bytes
