"""One searcher behind its port."""

import asyncio
import random
from dataclasses import asdict, replace

import orjson

from standins._knobs import BadKnobs
from standins.history import History, monotonic_ms
from standins.http import Connection, Exchanges, Reply, Request, Server
from standins.searcher._change import Change, read_change
from standins.searcher._effects import Answer, Effect
from standins.searcher._holdings import Holdings
from standins.searcher._knobs import SearcherKnobs
from standins.searcher._model import Searcher
from standins.searcher._parsing import cancelled_call, run_request, search_request

_DRAINING = (("Draining", "1"),)
_CONTROL_PATH = "/standin"


class SearcherPort:
    """Binds a searcher's model to a port, the clock and the history.

    :param name: The searcher's name.
    :param incarnation: Its first incarnation.
    :param knobs: Its knobs.
    :param holdings: Its holdings.
    :param rng: Its random source.
    :param history: Where its events go.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        knobs: SearcherKnobs,
        holdings: Holdings,
        rng: random.Random,
        history: History,
    ) -> None:
        self.name = name
        self._rng = rng
        self._history = history
        self._address = ("", 0)
        self._exchanges = Exchanges()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0.0
        self._connections = {"accepted": 0, "closed_above_cap": 0, "most_open": 0}
        self._server = Server(self._requested, self._gone, self._opened)
        self._searcher = self._born(incarnation, knobs, holdings)
        self._routes = {
            ("POST", "/search"): self._search,
            ("POST", "/run"): self._run,
            ("POST", "/cancel"): self._cancel,
            ("GET", "/health"): self._health,
            ("GET", _CONTROL_PATH): self._show,
            ("POST", _CONTROL_PATH): self._control,
        }

    def listen(self, ip: str, port: int) -> int:
        """Start to listen.

        :param ip: The address.
        :param port: The port, or 0 for any free one.
        :returns: The port bound.
        """
        bound = self._server.listen(ip, port)
        self._address = (ip, bound)
        return bound

    def read_change(self, body: bytes) -> Change | BadKnobs:
        """Read a change of this searcher.

        :param body: What ``POST /standin`` was given.
        :returns: The change, or why it was refused.
        """
        return read_change(body, self._searcher.knobs, self._searcher.holdings)

    def apply(self, change: Change) -> None:
        """Carry out a change.

        :param change: The change.
        """
        searcher = self._searcher
        if change.knobs != searcher.knobs:
            self._do(searcher.change(change.knobs, monotonic_ms()))
        if change.holdings != searcher.holdings:
            change.holdings.count_records()
            self._do(searcher.hold(change.holdings, monotonic_ms()))
        if change.restart:
            self._restart()
        if change.lost is not None:
            self._set_lost(change.lost)

    def shown(self) -> dict[str, object]:
        """Describe the searcher.

        :returns: Its knobs, holdings and figures.
        """
        return {
            "incarnation": self._searcher.incarnation,
            "knobs": asdict(self._searcher.knobs),
            "holdings": self._searcher.holdings.document(),
            "figures": {**self._searcher.figures(), "connections": self._connections},
        }

    def _born(self, incarnation: int, knobs: SearcherKnobs, holdings: Holdings) -> Searcher:
        now_ms = monotonic_ms()
        self._note(now_ms, "start", {"incarnation": incarnation}, durable=True)
        return Searcher(self.name, incarnation, knobs, holdings, self._rng, now_ms)

    def _restart(self) -> None:
        old = self._searcher
        knobs = replace(old.knobs, draining=False)
        self._server.abort_all()
        self._searcher = self._born(old.incarnation + 1, knobs, old.holdings)
        self._set_timer()

    def _set_lost(self, lost: bool) -> None:
        if lost == (not self._server.is_listening):
            return
        self._note(monotonic_ms(), "lost" if lost else "back", {}, durable=True)
        if lost:
            self._server.stop_listening()
            self._server.abort_all()
        else:
            self.listen(*self._address)

    def _opened(self, now_open: int) -> float | None:
        knobs = self._searcher.knobs
        counts = self._connections
        if now_open > knobs.connections:
            counts["closed_above_cap"] += 1
            return None
        counts["accepted"] += 1
        counts["most_open"] = max(counts["most_open"], now_open)
        return knobs.connect_ms

    def _requested(self, connection: Connection, request: Request) -> None:
        if self._searcher.knobs.silent and request.path != _CONTROL_PATH:
            return
        route = self._routes.get((request.method, request.path))
        if route is None:
            connection.reply(Reply(404, b'{"code":"no-such-path"}'))
            return
        route(connection, request)

    def _gone(self, connection: Connection) -> None:
        exchange = self._exchanges.close_of(connection)
        if exchange is not None:
            self._do(self._searcher.abandon(exchange, monotonic_ms()))

    def _search(self, connection: Connection, request: Request) -> None:
        search = search_request(request.body)
        exchange = self._exchanges.open(connection)
        self._do(self._searcher.search(exchange, search, monotonic_ms()))

    def _run(self, connection: Connection, request: Request) -> None:
        run = run_request(request.body)
        exchange = self._exchanges.open(connection)
        self._do(self._searcher.run(exchange, run, monotonic_ms()))

    def _cancel(self, connection: Connection, request: Request) -> None:
        call = cancelled_call(request.body)
        self._do(self._searcher.cancel(call, monotonic_ms()))
        connection.reply(Reply(204, headers=self._drain_header()))

    def _health(self, connection: Connection, request: Request) -> None:
        if self._searcher.knobs.health_down:
            connection.reply(Reply(503, b'{"code":"down"}'))
            return
        body = orjson.dumps(self._searcher.health(monotonic_ms()))
        connection.reply(Reply(200, body, self._drain_header()))

    def _show(self, connection: Connection, request: Request) -> None:
        connection.reply(Reply(200, orjson.dumps(self.shown())))

    def _control(self, connection: Connection, request: Request) -> None:
        change = self.read_change(request.body)
        if isinstance(change, BadKnobs):
            connection.reply(refused(change))
            return
        self.apply(change)
        self._show(connection, request)

    def _drain_header(self) -> tuple[tuple[str, str], ...]:
        return _DRAINING if self._searcher.knobs.draining else ()

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Answer):
                self._write(effect)
            else:
                self._note(effect.at_ms, effect.event, effect.fields, effect.durable)
        self._set_timer()

    def _write(self, answer: Answer) -> None:
        connection = self._exchanges.close(answer.exchange)
        if connection is not None:
            headers = _DRAINING if answer.draining else ()
            connection.reply(Reply(answer.status, answer.body, headers, answer.delivery))

    def _note(self, at_ms: float, event: str, fields: dict[str, object], durable: bool) -> None:
        named = {"at_ms": at_ms, "event": event, "searcher": self.name, **fields}
        self._history.add(named, durable)

    def _set_timer(self) -> None:
        due_ms = self._searcher.next_due_ms()
        if self._timer is not None:
            if due_ms == self._timer_due_ms:
                return
            self._timer.cancel()
            self._timer = None
        if due_ms is not None:
            self._timer_due_ms = due_ms
            self._timer = asyncio.get_running_loop().call_at(due_ms / 1000, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._do(self._searcher.tick(monotonic_ms()))


def refused(change: BadKnobs) -> Reply:
    """Answer a change that was refused.

    :param change: Why.
    :returns: The answer.
    """
    return Reply(400, orjson.dumps({"code": "bad-knobs", **asdict(change)}))
