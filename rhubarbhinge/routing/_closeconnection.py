"""Effect: close a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection; the shell calls ``on_connection_closed`` once it is closed.

    :param conn: the connection.
    """

    conn: int
