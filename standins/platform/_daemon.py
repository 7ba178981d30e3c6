"""The platform's process."""

import asyncio
from collections.abc import Mapping
from dataclasses import asdict
from itertools import count

import orjson

from standins._knobs import UnknownKnobs, changed
from standins.history import History, monotonic_ms
from standins.http import Connection, Delivery, Reply, Request, Server
from standins.platform._knobs import PlatformKnobs
from standins.platform._model import KEYS, Answer, Platform

_CONFIG_PATH = "/v1/config/"
_TICK_S = 0.01
_READER_HEADER = "reader"


class PlatformPort:
    """The platform behind its port.

    :param platform: The model.
    :param history: Where its events go.
    """

    def __init__(self, platform: Platform, history: History) -> None:
        self._platform = platform
        self._history = history
        self._numbers = count(1)
        self._connections: dict[int, Connection] = {}
        self._exchanges: dict[Connection, int] = {}
        self._server = Server(self._requested, self._gone, lambda now_open: 0.0)

    async def listen(self, ip: str, port: int) -> int:
        """Start to listen.

        :param ip: The address.
        :param port: The port, or 0 for any free one.
        :returns: The port bound.
        """
        return await self._server.listen(ip, port)

    def publish(self, key: str, document: bytes) -> None:
        """Publish a document.

        :param key: The key.
        :param document: The raw document; its revision is read from it.
        :raises ValueError: For an unknown key, or a document without a revision.
        """
        revision = _revision(document)
        if key not in KEYS or revision is None:
            raise ValueError(key)
        self._note("publish", {"key": key, "revision": revision})
        self._give(self._platform.publish(key, revision, document))

    def tick(self) -> None:
        """End the watches that have waited long enough."""
        self._give(self._platform.tick(monotonic_ms()))
        self._history.flush()

    def _requested(self, connection: Connection, request: Request) -> None:
        try:
            self._route(connection, request)
        except (KeyError, TypeError, ValueError, AttributeError):
            connection.reply(Reply(400, b'{"code":"malformed"}'))

    def _route(self, connection: Connection, request: Request) -> None:
        asked = (request.method, request.path)
        if request.method == "GET" and request.path.startswith(_CONFIG_PATH):
            self._get(connection, request)
        elif asked == ("POST", "/standin/publish"):
            self.publish(request.query["key"], request.body)
            connection.reply(Reply(200, b"{}"))
        elif asked == ("POST", "/standin"):
            self._control(connection, orjson.loads(request.body))
        elif asked in (("GET", "/standin"), ("GET", "/standin/stats")):
            connection.reply(Reply(200, orjson.dumps(self._shown())))
        else:
            connection.reply(Reply(404, b'{"code":"no-such-path"}'))

    def _get(self, connection: Connection, request: Request) -> None:
        exchange = next(self._numbers)
        self._connections[exchange] = connection
        self._exchanges[connection] = exchange
        key = request.path[len(_CONFIG_PATH) :]
        after = request.query.get("after")
        reader = request.headers.get(_READER_HEADER, connection.peer_ip)
        answers = self._platform.get(
            exchange=exchange,
            reader=reader,
            key=key,
            after=None if after is None else int(after),
            wait_ms=float(request.query.get("wait_ms", 0)),
            now_ms=monotonic_ms(),
        )
        self._note("get", {"key": key, "reader": reader, "after": after})
        self._give(answers)

    def _control(self, connection: Connection, document: Mapping[str, object]) -> None:
        knobs = changed(self._platform.knobs, document)
        if isinstance(knobs, UnknownKnobs):
            body = {"code": "unknown-knobs", "names": knobs.names}
            connection.reply(Reply(400, orjson.dumps(body)))
            return
        self._note("knobs", dict(document))
        self._give(self._platform.change(knobs))
        connection.reply(Reply(200, orjson.dumps(self._shown())))

    def _shown(self) -> dict[str, object]:
        return {"knobs": asdict(self._platform.knobs), "figures": self._platform.figures()}

    def _gone(self, connection: Connection) -> None:
        exchange = self._exchanges.pop(connection, None)
        if exchange is not None:
            del self._connections[exchange]
            self._platform.abandon(exchange)

    def _give(self, answers: list[Answer]) -> None:
        delay_ms = self._platform.knobs.delay_ms
        for answer in answers:
            if delay_ms > 0:
                asyncio.get_running_loop().call_later(delay_ms / 1000, self._write, answer)
            else:
                self._write(answer)

    def _write(self, answer: Answer) -> None:
        connection = self._connections.pop(answer.exchange, None)
        if connection is None:
            return
        del self._exchanges[connection]
        revision = answer.revision
        headers = () if revision is None else (("Revision", str(revision)),)
        if answer.status == 0:
            connection.reply(Reply(503, delivery=Delivery.LOST))
        else:
            connection.reply(Reply(answer.status, answer.body, headers))

    def _note(self, event: str, fields: dict[str, object]) -> None:
        self._history.add({"at_ms": monotonic_ms(), "event": event, **fields})


async def serve(config: Mapping[str, object], history_path: str | None) -> None:
    """Start the platform, print the ready line, and serve for ever.

    :param config: ``ip``, ``port``, ``knobs`` and ``documents``, see docs/standins.md.
    :param history_path: The history file, or None.
    """
    knobs = changed(PlatformKnobs(), config.get("knobs", {}))
    if isinstance(knobs, UnknownKnobs):
        raise SystemExit(f"unknown knobs: {', '.join(knobs.names)}")
    port = PlatformPort(Platform(knobs), History(history_path))
    for key, document in config.get("documents", {}).items():
        port.publish(key, orjson.dumps(document))
    bound = await port.listen(config.get("ip", "127.0.0.1"), config.get("port", 0))
    print(orjson.dumps({"ready": True, "port": bound}).decode(), flush=True)
    while True:
        await asyncio.sleep(_TICK_S)
        port.tick()


def _revision(document: bytes) -> int | None:
    """Read a document's revision; a document that is not JSON has none."""
    try:
        revision = orjson.loads(document)["revision"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None
    return revision if isinstance(revision, int) else None
