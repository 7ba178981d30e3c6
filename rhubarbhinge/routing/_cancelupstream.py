"""Effect: cancel a search at its searcher."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Send ``POST /cancel`` on the searcher's control connection, at most once.

    :param upstream_id: the searcher.
    :param call: call identifier sent to the searcher.
    :param ip: the searcher's IP address.
    :param port: its port.
    """

    upstream_id: int
    call: str
    ip: str
    port: int
