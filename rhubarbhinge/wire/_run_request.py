"""A run that an entry gives to a relay."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunRequest:
    """Asks a relay to send a ticket to an upstream, once.

    :param entry: name of the entry that minted the ticket.
    :param entry_incarnation: incarnation of that entry.
    :param relay: name of the relay that the message is meant for.
    :param relay_incarnation: incarnation that the message is meant for; another one refuses it.
    :param ticket: the ticket's text.
    :param action: name of the action in the register.
    :param body: the caller's body.
    :param relay_deadline_ms: end of the run on the receiving relay's clock, by the last reading of
        that clock that the entry has: a message that was held up on the way is not run late.
    :param upstream_id: the upstream, by :func:`rhubarbhinge.wire.upstream_id`.
    """

    entry: str
    entry_incarnation: int
    relay: str
    relay_incarnation: int
    ticket: str
    action: str
    body: bytes
    relay_deadline_ms: int
    upstream_id: int = 0
