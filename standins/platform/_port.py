"""The platform behind its port."""

import asyncio
from dataclasses import asdict

import orjson

from standins._knobs import BadKnobs, changed
from standins.history import History, monotonic_ms
from standins.http import Connection, Delivery, Exchanges, Reply, Request, Server, reads
from standins.platform._answer import Answer
from standins.platform._model import Platform
from standins.platform._publication import Publication, read_publication
from standins.platform._watch import Watch

_CONFIG_PATH = "/v1/config/"
_READER_HEADER = "reader"


class PlatformPort:
    """Binds the platform's model to a port, the clock and the history.

    :param platform: The model.
    :param history: Where its events go.
    """

    def __init__(self, platform: Platform, history: History) -> None:
        self._platform = platform
        self._history = history
        self._exchanges = Exchanges()
        self._server = Server(self._requested, self._gone, lambda now_open: 0.0)

    def listen(self, ip: str, port: int) -> int:
        """Start to listen.

        :param ip: The address.
        :param port: The port, or 0 for any free one.
        :returns: The port bound.
        """
        return self._server.listen(ip, port)

    def publish(self, publication: Publication) -> None:
        """Publish a document.

        :param publication: The document with its key and revision.
        """
        fields = {"key": publication.key, "revision": publication.revision}
        self._note("publish", fields, durable=True)
        self._give(self._platform.publish(publication))

    def tick(self) -> None:
        """End the watches that have waited long enough."""
        self._give(self._platform.tick(monotonic_ms()))

    def _requested(self, connection: Connection, request: Request) -> None:
        asked = (request.method, request.path)
        if request.method == "GET" and request.path.startswith(_CONFIG_PATH):
            self._get(connection, request)
        elif asked == ("POST", "/standin/publish"):
            self._publish(connection, request)
        elif asked == ("POST", "/standin"):
            self._control(connection, request)
        elif asked in (("GET", "/standin"), ("GET", "/standin/stats")):
            connection.reply(Reply(200, orjson.dumps(self._shown())))
        else:
            connection.reply(Reply(404, b'{"code":"no-such-path"}'))

    def _get(self, connection: Connection, request: Request) -> None:
        now_ms = monotonic_ms()
        after, wait_ms = _waits(request)
        call = Watch(
            exchange=self._exchanges.open(connection),
            reader=request.headers.get(_READER_HEADER, connection.peer_ip),
            key=request.path[len(_CONFIG_PATH) :],
            after=after,
            until_ms=now_ms + wait_ms,
        )
        self._note("get", {"key": call.key, "reader": call.reader, "after": call.after})
        self._give(self._platform.get(call, now_ms))

    def _publish(self, connection: Connection, request: Request) -> None:
        query = request.query
        self.publish(read_publication(query.get("key"), request.body, query.get("revision")))
        connection.reply(Reply(200, b"{}"))

    def _control(self, connection: Connection, request: Request) -> None:
        document = _document(request)
        knobs = changed(self._platform.knobs, document)
        if isinstance(knobs, BadKnobs):
            body = {"code": "bad-knobs", **asdict(knobs)}
            connection.reply(Reply(400, orjson.dumps(body)))
            return
        self._note("knobs", document, durable=True)
        self._give(self._platform.change(knobs))
        connection.reply(Reply(200, orjson.dumps(self._shown())))

    def _shown(self) -> dict[str, object]:
        return {"knobs": asdict(self._platform.knobs), "figures": self._platform.figures()}

    def _gone(self, connection: Connection) -> None:
        exchange = self._exchanges.close_of(connection)
        if exchange is not None:
            self._platform.abandon(exchange)

    def _give(self, answers: list[Answer]) -> None:
        delay_ms = self._platform.knobs.delay_ms
        for answer in answers:
            if delay_ms > 0:
                asyncio.get_running_loop().call_later(delay_ms / 1000, self._write, answer)
            else:
                self._write(answer)

    def _write(self, answer: Answer) -> None:
        connection = self._exchanges.close(answer.exchange)
        if connection is not None:
            connection.reply(_reply(answer))

    def _note(self, event: str, fields: dict[str, object], durable: bool = False) -> None:
        self._history.add({"at_ms": monotonic_ms(), "event": event, **fields}, durable)


def _reply(answer: Answer) -> Reply:
    if answer.status is None:
        return Reply(503, delivery=Delivery.LOST)
    headers = () if answer.revision is None else (("Revision", str(answer.revision)),)
    return Reply(answer.status, answer.body, headers)


@reads
def _waits(request: Request) -> tuple[int | None, float]:
    after = request.query.get("after")
    wait_ms = float(request.query.get("wait_ms", 0))
    return (None if after is None else int(after)), wait_ms


@reads
def _document(request: Request) -> dict[str, object]:
    return dict(orjson.loads(request.body).items())
