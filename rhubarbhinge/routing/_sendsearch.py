"""Effect: send a search on a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendSearch:
    """Send ``POST /search``; the core itself expires it and closes the connection.

    :param conn: an idle connection.
    :param body: the JSON body.
    :param timeout_ms: time after which the core expires the request.
    """

    conn: int
    body: bytes
    timeout_ms: int
