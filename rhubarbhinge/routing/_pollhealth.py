"""Effect: poll a searcher's health."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollHealth:
    """Send ``GET /health`` on the searcher's control connection; the shell calls ``on_health``.

    :param upstream_id: the searcher.
    :param ip: its IP address.
    :param port: its port.
    """

    upstream_id: int
    ip: str
    port: int
