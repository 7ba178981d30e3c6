"""Effect: send a request that must not repeat."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendRun:
    """Send ``POST /run`` once; the shell never resends it.

    :param conn: the connection, idle until now.
    :param body: the JSON body.
    :param timeout_ms: time after which the core stops waiting.
    """

    conn: int
    body: bytes
    timeout_ms: int
