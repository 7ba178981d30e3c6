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

#: Maximum doublings of the delay after failed connections; the delay cap applies by then.
MAX_DOUBLINGS = 16
#: Connect timeout as a multiple of the searcher's usual connect time.
CONNECT_TIME_FACTOR = 10


class ConnectionPool:
    """Opens connections in advance, up to a cap, and hands out idle ones.

    A connection counts against the cap from the effect that opens it until the shell reports it
    closed.

    :param owner: the searcher's state, to which its connections refer.
    :param spec: the searcher.
    :param cap: maximum number of connections.
    :param policy: relay settings.
    :param table: all connections of the relay.
    :param deadlines: deadline queue that connect timeouts are added to.
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
        """Apply the searcher's entry of another register revision.

        :param spec: the searcher; connections to a previous address are retired.
        :param cap: maximum number of connections; idle ones above it are closed.
        :param effects: list that effects are appended to.
        """
        moved = (spec.ip, spec.port) != (self._spec.ip, self._spec.port)
        self._spec = spec
        self._cap = cap
        if moved:
            self.retire_all(effects)
        while self.idle and len(self._connections) - self._closing() > cap:
            self.close(self.idle[0], effects)

    def refused_wait_ms(self, now_ms: int) -> int | None:
        """Return the delay until the next attempt while the searcher refuses connections.

        :param now_ms: current time in ms.
        :returns: time in ms until the next attempt; None if one is open or no attempt failed.
        """
        if not self._failures or len(self._connections) > self._opening:
            return None
        return max(0, self._not_before_ms - now_ms)

    def connect_wait_ms(self, now_ms: int) -> int:
        """Estimate the time until a connection is idle, given that no request waits for one.

        :param now_ms: current time in ms.
        :returns: time in ms.
        """
        if self.idle:
            return 0
        return max(0, self._not_before_ms - now_ms) + self._spec.connect_ms

    def open_missing(self, waiting: int, now_ms: int, effects: list[Any]) -> None:
        """Open missing connections: one for each sendable request, and the spare ones.

        While connection attempts fail, only one is made at a time.

        :param waiting: number of requests that can be sent once connections are open.
        :param now_ms: current time in ms.
        :param effects: list that effects are appended to.
        """
        missing = waiting + self._policy.spare_connections - len(self.idle) - self._opening
        if missing <= 0 or now_ms < self._not_before_ms:
            return
        if self._failures:
            missing = 0 if self.idle or self._opening else 1
        room = self._cap - len(self._connections)
        for _ in range(min(missing, room)):
            self._open(now_ms, effects)

    def assign(self, job: Job) -> Connection:
        """Assign a request to the most recently used idle connection; there must be one.

        :param job: the request.
        :returns: the connection.
        """
        connection = self.idle.pop()
        connection.job = job
        job.connection = connection
        return connection

    def on_opened(self, connection: Connection, effects: list[Any]) -> None:
        """Record that a connection is open.

        :param connection: the connection.
        :param effects: list that effects are appended to.
        """
        connection.open = True
        self._opening -= 1
        self.release(connection, effects)

    def on_response(self, connection: Connection) -> None:
        """Record a response; on a connection opened after the last failure, it ends the back-off.

        :param connection: the connection.
        """
        connection.served = True
        if self._failures and connection.opened_ms > self._failed_ms:
            self._failures = 0

    def release(self, connection: Connection, effects: list[Any]) -> None:
        """Return a connection without a request to the pool.

        :param connection: the connection; closed if it is retired or the pool is above its cap.
        :param effects: list that effects are appended to.
        """
        if connection.retired or len(self._connections) > self._cap:
            self.close(connection, effects)
            return
        self.idle.append(connection)

    def close(self, connection: Connection, effects: list[Any]) -> None:
        """Close a connection unless it is already closing.

        :param connection: the connection.
        :param effects: list that effects are appended to.
        """
        if connection.closing:
            return
        connection.closing = True
        if connection in self.idle:
            self.idle.remove(connection)
        effects.append(CloseConnection(connection.conn))

    def retire_all(self, effects: list[Any]) -> None:
        """Retire all connections; those without a request are closed at once.

        :param effects: list that effects are appended to.
        """
        for connection in list(self._connections.values()):
            connection.retired = True
            if connection.job is None:
                self.close(connection, effects)

    def on_closed(self, connection: Connection, now_ms: int) -> None:
        """Record that a connection is closed, failed to open, or was refused.

        :param connection: the connection.
        :param now_ms: current time in ms.
        """
        del self._connections[connection.conn]
        connection.closing = True
        if connection in self.idle:
            self.idle.remove(connection)
        if not connection.open:
            self._opening -= 1
        if not connection.retired and self._is_failed_attempt(connection, now_ms):
            self._back_off(connection, now_ms)

    def _is_failed_attempt(self, connection: Connection, now_ms: int) -> bool:
        short = now_ms - connection.opened_ms < self._policy.least_connection_life_ms
        return not connection.open or (short and not connection.served)

    def _back_off(self, connection: Connection, now_ms: int) -> None:
        if self._failures and connection.opened_ms <= self._failed_ms:
            return
        wait_ms = self._policy.least_connect_wait_ms << min(self._failures, MAX_DOUBLINGS)
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
