"""A claim of an idempotency key for a ticket."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Asks an owner of a key to bind it to a ticket, unless it is bound already.

    :param call: number of this call at the asking entry.
    :param from_entry: name of the asking entry.
    :param from_incarnation: incarnation of the asking entry; the reply carries it back.
    :param to_entry: name of the entry that the message is meant for.
    :param step: 0 to bind as the first owner, 1 to bind as the second, 2 to look up only.
    :param key: the tenant's name and the caller's key, joined by the daemon.
    :param digest: digest of the action and body that the key stands for.
    :param ticket: text of the proposed ticket.
    """

    call: int
    from_entry: str
    from_incarnation: int
    to_entry: str
    step: int
    key: str
    digest: bytes
    ticket: str
