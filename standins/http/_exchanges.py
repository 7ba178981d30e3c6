"""Numbers for open requests, so that models need not know connections."""

from itertools import count

from standins.http._connection import Connection


class Exchanges:
    """The open requests of one port, each with a number that is never used again."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._connections: dict[int, Connection] = {}
        self._by_connection: dict[Connection, int] = {}

    def open(self, connection: Connection) -> int:
        """Number a connection's present request.

        :param connection: The connection.
        :returns: The number.
        """
        number = next(self._numbers)
        self._connections[number] = connection
        self._by_connection[connection] = number
        return number

    def close(self, number: int) -> Connection | None:
        """End a request by its number.

        :param number: The number.
        :returns: Its connection, or None when the request is not open.
        """
        connection = self._connections.pop(number, None)
        if connection is not None:
            del self._by_connection[connection]
        return connection

    def close_of(self, connection: Connection) -> int | None:
        """End the request of a connection that is gone.

        :param connection: The connection.
        :returns: The request's number, or None when it has none open.
        """
        number = self._by_connection.pop(connection, None)
        if number is not None:
            del self._connections[number]
        return number
