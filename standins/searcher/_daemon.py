"""The searcher's process: many searchers, each on its own port, on one event loop."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import asdict
from itertools import count

import orjson

from standins._knobs import UnknownKnobs, changed
from standins.history import History, monotonic_ms
from standins.http import Connection, Reply, Request, Server
from standins.searcher._effects import Answer, Effect
from standins.searcher._holdings import Holdings, holdings_from, ranges_from
from standins.searcher._knobs import SearcherKnobs
from standins.searcher._model import Searcher
from standins.searcher._requests import RunRequest, SearchRequest

_DRAINING = (("Draining", "1"),)
_HISTORY_FLUSH_S = 0.1
_NO_DEADLINE_MS = 60_000.0


class SearcherPort:
    """One searcher behind its port.

    :param searcher: The model.
    :param history: Where its events go.
    """

    def __init__(self, searcher: Searcher, history: History) -> None:
        self._searcher = searcher
        self._history = history
        self._numbers = count(1)
        self._connections: dict[int, Connection] = {}
        self._exchanges: dict[Connection, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0.0
        self._accepted = 0
        self._closed_above_cap = 0
        self._most_open = 0
        self._server = Server(self._requested, self._gone, self._opened)
        self._routes = {
            ("POST", "/search"): self._search,
            ("POST", "/run"): self._run,
            ("POST", "/cancel"): self._cancel,
            ("GET", "/health"): self._health,
            ("GET", "/standin"): self._show,
            ("POST", "/standin"): self._control,
        }

    async def listen(self, ip: str, port: int) -> int:
        """Start to listen.

        :param ip: The address.
        :param port: The port, or 0 for any free one.
        :returns: The port bound.
        """
        return await self._server.listen(ip, port)

    def _opened(self, now_open: int) -> float | None:
        knobs = self._searcher.knobs
        if now_open > knobs.connections:
            self._closed_above_cap += 1
            return None
        self._accepted += 1
        self._most_open = max(self._most_open, now_open)
        return knobs.connect_ms

    def _requested(self, connection: Connection, request: Request) -> None:
        route = self._routes.get((request.method, request.path))
        if route is None:
            connection.reply(Reply(404, b'{"code":"no-such-path"}'))
            return
        try:
            route(connection, request)
        except (KeyError, TypeError, ValueError, AttributeError):
            connection.reply(Reply(400, b'{"code":"malformed"}'))

    def _gone(self, connection: Connection) -> None:
        exchange = self._exchanges.get(connection)
        if exchange is not None:
            self._forget(exchange)
            self._do(self._searcher.abandon(exchange, monotonic_ms()))

    def _search(self, connection: Connection, request: Request) -> None:
        search = _search_request(orjson.loads(request.body))
        self._do(self._searcher.search(self._admit(connection), search, monotonic_ms()))

    def _run(self, connection: Connection, request: Request) -> None:
        run = _run_request(orjson.loads(request.body))
        self._do(self._searcher.run(self._admit(connection), run, monotonic_ms()))

    def _cancel(self, connection: Connection, request: Request) -> None:
        call = orjson.loads(request.body)["call"]
        self._do(self._searcher.cancel(call, monotonic_ms()))
        connection.reply(Reply(204, headers=self._drain_header()))

    def _health(self, connection: Connection, request: Request) -> None:
        if self._searcher.knobs.health_down:
            connection.reply(Reply(503, b'{"code":"down"}'))
            return
        body = orjson.dumps(self._searcher.health(monotonic_ms()))
        connection.reply(Reply(200, body, self._drain_header()))

    def _show(self, connection: Connection, request: Request) -> None:
        connection.reply(Reply(200, orjson.dumps(self._shown())))

    def _control(self, connection: Connection, request: Request) -> None:
        document = orjson.loads(request.body)
        effects = _controlled(self._searcher, document, monotonic_ms())
        if isinstance(effects, UnknownKnobs):
            body = {"code": "unknown-knobs", "names": effects.names}
            connection.reply(Reply(400, orjson.dumps(body)))
            return
        self._do(effects)
        connection.reply(Reply(200, orjson.dumps(self._shown())))

    def _shown(self) -> dict[str, object]:
        connections = {
            "accepted": self._accepted,
            "closed_above_cap": self._closed_above_cap,
            "most_open": self._most_open,
        }
        figures = {**self._searcher.figures(), "connections": connections}
        return {"knobs": asdict(self._searcher.knobs), "figures": figures}

    def _drain_header(self) -> tuple[tuple[str, str], ...]:
        return _DRAINING if self._searcher.knobs.draining else ()

    def _admit(self, connection: Connection) -> int:
        exchange = next(self._numbers)
        self._connections[exchange] = connection
        self._exchanges[connection] = exchange
        return exchange

    def _forget(self, exchange: int) -> Connection | None:
        connection = self._connections.pop(exchange, None)
        if connection is not None:
            del self._exchanges[connection]
        return connection

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Answer):
                self._write(effect)
            else:
                event = {"at_ms": effect.at_ms, "event": effect.event}
                named = {**event, "searcher": self._searcher.name, **effect.fields}
                self._history.add(named, effect.durable)
        self._set_timer()

    def _write(self, answer: Answer) -> None:
        connection = self._forget(answer.exchange)
        if connection is not None:
            headers = _DRAINING if answer.draining else ()
            connection.reply(Reply(answer.status, answer.body, headers, answer.delivery))

    def _set_timer(self) -> None:
        due_ms = self._searcher.next_due_ms()
        if self._timer is not None:
            if due_ms == self._timer_due_ms:
                return
            self._timer.cancel()
            self._timer = None
        if due_ms is not None:
            self._timer_due_ms = due_ms
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due_ms / 1000, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._do(self._searcher.tick(monotonic_ms()))


async def serve(config: Mapping[str, object], history_path: str | None) -> None:
    """Start the searchers of a configuration, print the ready line, and serve for ever.

    :param config: ``searchers`` and ``defaults``, see docs/standins.md.
    :param history_path: The history file, or None.
    """
    history = History(history_path)
    ports = {}
    for document in config["searchers"]:
        port = _searcher_port(document, config.get("defaults", {}), history)
        bound = await port.listen(document.get("ip", "127.0.0.1"), document.get("port", 0))
        ports[document["name"]] = bound
    print(orjson.dumps({"ready": True, "ports": ports}).decode(), flush=True)
    while True:
        await asyncio.sleep(_HISTORY_FLUSH_S)
        history.flush()


def _searcher_port(
    document: Mapping[str, object], defaults: Mapping[str, object], history: History
) -> SearcherPort:
    name = document["name"]
    knobs = changed(SearcherKnobs(), {**defaults, **document.get("knobs", {})})
    if isinstance(knobs, UnknownKnobs):
        raise SystemExit(f"{name}: unknown knobs: {', '.join(knobs.names)}")
    searcher = Searcher(
        name=name,
        incarnation=document.get("incarnation", 1),
        knobs=knobs,
        holdings=holdings_from(document.get("holdings", {})),
        rng=random.Random(document.get("seed", name)),
        now_ms=monotonic_ms(),
    )
    history.add({"at_ms": monotonic_ms(), "event": "start", "searcher": name}, durable=True)
    return SearcherPort(searcher, history)


def _controlled(
    searcher: Searcher, document: dict[str, object], now_ms: float
) -> list[Effect] | UnknownKnobs:
    holdings = _changed_holdings(searcher.holdings, document)
    rest = {name: value for name, value in document.items() if name not in _HOLDING_CHANGES}
    knobs = changed(searcher.knobs, rest)
    if isinstance(knobs, UnknownKnobs):
        return knobs
    effects = searcher.change(knobs, now_ms) if rest else []
    if holdings is not searcher.holdings:
        effects = effects + searcher.hold(holdings, now_ms)
    return effects


_HOLDING_CHANGES = ("holdings", "publish", "drop")


def _changed_holdings(holdings: Holdings, document: dict[str, object]) -> Holdings:
    if "holdings" in document:
        holdings = holdings_from(document["holdings"])
    for item in document.get("publish", ()):
        ranges = ranges_from(item["ranges"])
        holdings = holdings.with_version(item["collection"], int(item["version"]), ranges)
    for item in document.get("drop", ()):
        holdings = holdings.without_version(item["collection"], int(item["version"]))
    return holdings


def _search_request(document: dict[str, object]) -> SearchRequest:
    return SearchRequest(
        call=document["call"],
        collection=document["collection"],
        version=int(document["version"]),
        lo=int(document["lo"]),
        hi=int(document["hi"]),
        text=document["text"],
        limit=int(document["limit"]),
        deadline_ms=float(document["deadline_ms"]),
    )


def _run_request(document: dict[str, object]) -> RunRequest:
    return RunRequest(
        ticket=document["ticket"],
        action=document["action"],
        body=document.get("body", {}),
        deadline_ms=float(document.get("deadline_ms", _NO_DEADLINE_MS)),
    )
