"""Tickets: permissions to run one request once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one request once, held by the process that minted it.

    :param entry: name of the entry that minted it.
    :param incarnation: incarnation of that entry; no other may run the ticket.
    :param sequence: number of the ticket within the incarnation.
    :param action: name of the action in the register.
    :param expires_ms: end of its lifetime on the monotonic clock of its own entry; not comparable
        with the clock of any other process.
    :param digest: digest of the action and the body.
    """

    entry: str
    incarnation: int
    sequence: int
    action: str
    expires_ms: int
    digest: bytes
