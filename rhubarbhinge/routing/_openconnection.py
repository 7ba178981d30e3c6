"""Effect: open a connection to a searcher."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection; the shell then calls ``on_connected`` or ``on_connection_closed``.

    :param conn: the connection's number, assigned by the core and never reused.
    :param upstream_id: the searcher.
    :param ip: its IP address.
    :param port: its port.
    """

    conn: int
    upstream_id: int
    ip: str
    port: int
