"""Effect: cancel a search at its searcher."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Send ``POST /cancel`` on the searcher's control connection, at most once.

    :param upstream_id: the searcher.
    :param call: the call as the searcher knows it.
    :param ip: the searcher's IP number.
    :param port: its port.
    """

    upstream_id: int
    call: str
    ip: str
    port: int
