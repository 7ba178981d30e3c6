"""The connections to one searcher."""

from typing import Any

from rhubarbhinge.routing._closeconnection import CloseConnection
from rhubarbhinge.routing._connection import Connection
from rhubarbhinge.routing._connectiontable import ConnectionTable
from rhubarbhinge.routing._deadlines import Deadlines
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._openconnection import OpenConnection
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._upstreamspec import UpstreamSpec

#: Doublings of the wait after failed connections before the bound applies at the latest.
MOST_DOUBLINGS = 16
#: Connection attempts are given up after this many times the searcher's usual time.
CONNECT_TIME_FACTOR = 10


class ConnectionPool:
    """Opens connections ahead, never above the cap, and hands out idle ones.

    A connection counts against the cap from the effect that opens it until the shell reports it
    closed.

    :param owner: the searcher's state, which its connections name.
    :param spec: the searcher.
    :param cap: most connections.
    :param policy: settings.
    :param table: all connections of the relay.
    :param deadlines: where unfinished connections are put to be given up.
    """

    def __init__(
        self,
        owner: Any,
        spec: UpstreamSpec,
        cap: int,
        policy: RelayPolicy,
        table: ConnectionTable,
        deadlines: Deadlines,
    ) -> None:
        self._owner = owner
        self._spec = spec
        self._cap = cap
        self._policy = policy
        self._table = table
        self._deadlines = deadlines
        self._connections: dict[int, Connection] = {}
        self._opening = 0
        self._failures = 0
        self._failed_ms = 0
        self._not_before_ms = 0
        self.idle: list[Connection] = []

    def __len__(self) -> int:
        return len(self._connections)

    def resize(self, spec: UpstreamSpec, cap: int, effects: list[Any]) -> None:
        """Take the searcher's entry of another register revision.

        :param spec: the searcher; connections to an older address take no further request.
        :param cap: most connections; idle ones above it are closed.
        :param effects: where effects are put.
        """
        moved = (spec.ip, spec.port) != (self._spec.ip, self._spec.port)
        self._spec = spec
        self._cap = cap
        if moved:
            self.retire_all(effects)
        while self.idle and len(self._connections) - self._closing() > cap:
            self.close(self.idle[0], effects)

    def refused_wait_ms(self, now_ms: int) -> int | None:
        """Tell whether the searcher refuses connections.

        :param now_ms: the time.
        :returns: the time in ms until the next attempt, or None when there is a connection.
        """
        if not self._failures or len(self._connections) > self._opening:
            return None
        return max(0, self._not_before_ms - now_ms)

    def connect_wait_ms(self, now_ms: int) -> int:
        """Estimate how long until there is an idle connection, when no request waits for one.

        :param now_ms: the time.
        :returns: the time in ms.
        """
        if self.idle:
            return 0
        return max(0, self._not_before_ms - now_ms) + self._spec.connect_ms

    def keep_ready(self, waiting: int, now_ms: int, effects: list[Any]) -> None:
        """Open what is missing: one for each request that may be sent, and spare ones.

        While connections fail, only one at a time is tried.

        :param waiting: requests that may be sent as soon as there are connections.
        :param now_ms: the time.
        :param effects: where effects are put.
        """
        missing = waiting + self._policy.spare_connections - len(self.idle) - self._opening
        if missing <= 0 or now_ms < self._not_before_ms:
            return
        if self._failures:
            missing = 0 if self.idle or self._opening else 1
        room = self._cap - len(self._connections)
        for _ in range(min(missing, room)):
            self._open(now_ms, effects)

    def take(self, job: Job) -> Connection:
        """Put a request on an idle connection, the most recently used; there must be one.

        :param job: the request.
        :returns: the connection.
        """
        connection = self.idle.pop()
        connection.job = job
        job.connection = connection
        return connection

    def opened(self, connection: Connection, effects: list[Any]) -> None:
        """Note that a connection is open.

        :param connection: the connection.
        :param effects: where effects are put.
        """
        connection.open = True
        self._opening -= 1
        self.release(connection, effects)

    def served(self, connection: Connection) -> None:
        """Note an answer; one on a newer connection ends a series of failed ones.

        :param connection: the connection.
        """
        connection.served = True
        if self._failures and connection.opened_ms > self._failed_ms:
            self._failures = 0

    def release(self, connection: Connection, effects: list[Any]) -> None:
        """Take back a connection that carries no request any more.

        :param connection: the connection; closed when it is retired or above the cap.
        :param effects: where effects are put.
        """
        if connection.retired or len(self._connections) > self._cap:
            self.close(connection, effects)
            return
        self.idle.append(connection)

    def close(self, connection: Connection, effects: list[Any]) -> None:
        """Close a connection, once.

        :param connection: the connection.
        :param effects: where effects are put.
        """
        if connection.closing:
            return
        connection.closing = True
        if connection in self.idle:
            self.idle.remove(connection)
        effects.append(CloseConnection(connection.conn))

    def retire_all(self, effects: list[Any]) -> None:
        """Let no connection take a further request; those without one are closed at once.

        :param effects: where effects are put.
        """
        for connection in list(self._connections.values()):
            connection.retired = True
            if connection.job is None:
                self.close(connection, effects)

    def closed(self, connection: Connection, now_ms: int) -> None:
        """Note that a connection is closed, failed to open, or was refused.

        :param connection: the connection.
        :param now_ms: the time.
        """
        del self._connections[connection.conn]
        connection.closing = True
        if connection in self.idle:
            self.idle.remove(connection)
        if not connection.open:
            self._opening -= 1
        if not connection.retired and self._was_useless(connection, now_ms):
            self._back_off(connection, now_ms)

    def _was_useless(self, connection: Connection, now_ms: int) -> bool:
        short = now_ms - connection.opened_ms < self._policy.least_connection_life_ms
        return not connection.open or (short and not connection.served)

    def _back_off(self, connection: Connection, now_ms: int) -> None:
        if self._failures and connection.opened_ms <= self._failed_ms:
            return
        wait_ms = self._policy.least_connect_wait_ms << min(self._failures, MOST_DOUBLINGS)
        self._failures += 1
        self._failed_ms = now_ms
        self._not_before_ms = now_ms + min(wait_ms, self._policy.most_connect_wait_ms)

    def _open(self, now_ms: int, effects: list[Any]) -> None:
        spec = self._spec
        connection = self._table.new(self._owner, now_ms)
        self._connections[connection.conn] = connection
        self._opening += 1
        usual_ms = spec.connect_ms * CONNECT_TIME_FACTOR
        timeout_ms = max(self._policy.least_connect_timeout_ms, usual_ms)
        self._deadlines.bucket(now_ms + timeout_ms).append(connection)
        effects.append(OpenConnection(connection.conn, spec.upstream_id, spec.ip, spec.port))

    def _closing(self) -> int:
        return sum(connection.closing for connection in self._connections.values())
