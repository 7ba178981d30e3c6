"""The store on a port."""

import asyncio
import weakref

import orjson

from standins.http import Connection, Reply, Request, Server
from standins.operators._model import CompactedError, StoreModel

PAGE_ITEMS = 3
"""Items of a page; few, so that lists take several."""


class Store:
    """Serves a :class:`StoreModel` on one port; several ports may serve the same.

    :param model: the contents; call :meth:`changed` after changing them.
    :ivar down: whether callers of this port get 503.
    :ivar unreachable: whether callers of this port get no response at all.
    :ivar calls: calls so far.
    """

    def __init__(self, model: StoreModel) -> None:
        self.model = model
        self.down = False
        self.unreachable = False
        self.calls = 0
        self._silent: weakref.WeakSet[Connection] = weakref.WeakSet()
        self._waiting: dict[Connection, tuple[str, int, asyncio.TimerHandle]] = {}
        self._server = Server(self._requested, self._gone, lambda count: 0.0)

    def listen(self) -> int:
        """Start.

        :returns: the port.
        """
        return self._server.listen("127.0.0.1", 0)

    def close(self) -> None:
        """Refuse new connections."""
        self._server.stop_listening()

    def changed(self) -> None:
        """Tell those that wait."""
        for connection, (prefix, after, _) in list(self._waiting.items()):
            self._tell(connection, prefix, after, last=False)

    def drop_waiting(self) -> None:
        """Cut the connections of those that wait."""
        for connection in list(self._waiting):
            self._gone(connection)
            connection.abort()

    def silence_open_connections(self) -> None:
        """Send nothing more on connections that are open now, and leave them open."""
        for connection in self._server.open_connections:
            self._gone(connection)
            self._silent.add(connection)

    def _requested(self, connection: Connection, request: Request) -> None:
        self.calls += 1
        if self.unreachable or connection in self._silent:
            return
        if self.down:
            connection.reply(self._with_era(503))
            return
        prefix = request.query.get("path_prefix", "")
        if request.path == "/v1/kv-range":
            items, more = self.model.page(prefix, request.query.get("after", ""), PAGE_ITEMS)
            self._reply(connection, {"items": items, "has_more": more})
        elif request.path == "/v1/kv-watch":
            after = int(request.query["after"])
            wait_s = int(request.query["wait_ms"]) / 1e3
            loop = asyncio.get_running_loop()
            timer = loop.call_later(wait_s, self._tell, connection, prefix, after, True)
            self._waiting[connection] = (prefix, after, timer)
            self._tell(connection, prefix, after, last=False)
        else:
            connection.reply(self._with_era(404))

    def _tell(self, connection: Connection, prefix: str, after: int, last: bool) -> None:
        try:
            events = list(self.model.events(prefix, after))
        except CompactedError:
            self._gone(connection)
            connection.reply(self._with_era(410))
            return
        if events or last:
            self._gone(connection)
            self._reply(connection, {"events": events})

    def _gone(self, connection: Connection) -> None:
        waiting = self._waiting.pop(connection, None)
        if waiting is not None:
            waiting[2].cancel()

    def _reply(self, connection: Connection, page: dict) -> None:
        body = orjson.dumps({**page, "store_revision": self.model.revision})
        connection.reply(self._with_era(200, body))

    def _with_era(self, status: int, body: bytes = b"") -> Reply:
        return Reply(status, body, (("Store-Era", str(self.model.era)),))
