"""Effect: open a connection to a searcher."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection; the shell answers with ``on_connected`` or ``on_connection_closed``.

    :param conn: the connection's number, chosen by the core and never used again.
    :param upstream_id: the searcher.
    :param ip: its IP number.
    :param port: its port.
    """

    conn: int
    upstream_id: int
    ip: str
    port: int
