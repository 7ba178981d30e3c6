"""Effect: ask a searcher for its health."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollHealth:
    """Send ``GET /health`` on the searcher's control connection; answered by ``on_health``.

    :param upstream_id: the searcher.
    :param ip: its IP number.
    :param port: its port.
    """

    upstream_id: int
    ip: str
    port: int
