"""Effect: send a run."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendRun:
    """Send ``POST /run`` once; the shell must not resend it.

    :param conn: an idle connection.
    :param body: the JSON body.
    :param timeout_ms: time after which the core expires the request.
    """

    conn: int
    body: bytes
    timeout_ms: int
