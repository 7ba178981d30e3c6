"""A run or a read of a ticket, passed on to the entry that minted it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TicketForward:
    """Asks the owner of a ticket to run it, or to read its outcome.

    :param call: number of this call at the asking entry.
    :param from_entry: name of the asking entry.
    :param from_incarnation: incarnation of the asking entry; the reply carries it back.
    :param owner_entry: name of the entry that the message is meant for.
    :param owner_incarnation: incarnation that the message is meant for; another one refuses it.
    :param ticket: the ticket's text.
    :param body: the caller's body; empty for a read.
    :param read: True to read the outcome only, which never runs the ticket.
    """

    call: int
    from_entry: str
    from_incarnation: int
    owner_entry: str
    owner_incarnation: int
    ticket: str
    body: bytes
    read: bool
