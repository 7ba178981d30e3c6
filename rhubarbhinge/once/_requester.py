"""Requesters of an outcome: callers of this entry and other entries."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LocalRequester:
    """A caller's request on this entry.

    :param request: number of the request at the daemon.
    """

    request: int


@dataclass(frozen=True, slots=True)
class PeerRequester:
    """A call from another entry.

    :param entry: name of the other entry.
    :param incarnation: its incarnation.
    :param call: number of the call there.
    """

    entry: str
    incarnation: int
    call: int


Requester = LocalRequester | PeerRequester
