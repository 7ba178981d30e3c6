"""Carries out what the relay core decides, over HTTP connections to searchers."""

from collections.abc import Callable
from typing import Any

import orjson

from rhubarbhinge.daemons._waker import Waker
from rhubarbhinge.routing import (
    CancelUpstream,
    CloseConnection,
    DropPeer,
    OpenConnection,
    PollHealth,
    PublishHolding,
    PublishLoad,
    RelayCore,
    Reply,
    RunResult,
    SendRun,
    SendSearch,
)
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Failure, HttpClient, HttpConnections
from rhubarbhinge.web import Reply as HttpReply

#: Longest wait for a health document or a cancel.
_CONTROL_TIMEOUT_MS = 1_000.0
_CONNECT_TIMEOUT_MS = 1_000.0
#: The core itself ends what is late; the connection's own bound only backs it up.
_BACKSTOP_MS = 5_000.0
_MOST_SLEEP_MS = 100.0

#: What leaves the pool, towards the entries.
PoolOutput = Reply | RunResult | PublishHolding | PublishLoad | DropPeer


class PoolShell:
    """Owns the connections to some searchers and turns the core's effects into requests.

    :param timers: the timer service.
    :param core: the decisions.
    :param connections: takes three callbacks and gives the component that owns the sockets.
    :param client: for health polls and cancels.
    :param on_output: called with each effect that is meant for entries.
    """

    def __init__(
        self,
        timers: TimerService,
        core: RelayCore,
        connections: Callable[..., HttpConnections],
        client: HttpClient,
        on_output: Callable[[PoolOutput], None],
    ) -> None:
        self._timers = timers
        self._core = core
        self._client = client
        self._on_output = on_output
        self._connections = connections(self._opened, self._replied, self._closed)
        self._http_by_core: dict[int, int] = {}
        self._core_by_http: dict[int, int] = {}
        self._waker = Waker(timers, self.tick, _MOST_SLEEP_MS)
        self._actions: dict[type, Callable[[Any], None]] = {
            OpenConnection: self._open,
            CloseConnection: self._close,
            SendSearch: self._search,
            SendRun: self._run,
            PollHealth: self._poll,
            CancelUpstream: self._cancel,
        }

    @property
    def core(self) -> RelayCore:
        """Give the decisions.

        :returns: the core.
        """
        return self._core

    def carry_out(self, effects: list[Any]) -> None:
        """Carry out effects of the core.

        :param effects: what the core returned.
        """
        for effect in effects:
            action = self._actions.get(type(effect))
            if action is None:
                self._on_output(effect)
            else:
                action(effect)

    def turn_ended(self) -> None:
        """Set the timer for the core's next tick; called once a loop turn."""
        self._waker.wake_by(self._core.next_wake_ms())

    def tick(self) -> None:
        """Let the core do what is due."""
        self.carry_out(self._core.tick(self._timers.now_ms()))

    # Effects.

    def _open(self, effect: OpenConnection) -> None:
        http = self._connections.open(effect.ip, effect.port, _CONNECT_TIMEOUT_MS)
        self._http_by_core[effect.conn] = http
        self._core_by_http[http] = effect.conn

    def _close(self, effect: CloseConnection) -> None:
        http = self._http_by_core.get(effect.conn)
        if http is not None:
            self._connections.close(http)

    def _search(self, effect: SendSearch) -> None:
        self._post(effect.conn, "/search", effect.body, effect.timeout_ms)

    def _run(self, effect: SendRun) -> None:
        self._post(effect.conn, "/run", effect.body, effect.timeout_ms)

    def _post(self, conn: int, path: str, body: bytes, timeout_ms: float) -> None:
        http = self._http_by_core.get(conn)
        if http is not None:
            bound_ms = timeout_ms + _BACKSTOP_MS
            self._connections.request(http, "POST", path, body, timeout_ms=bound_ms)

    def _poll(self, effect: PollHealth) -> None:
        upstream_id = effect.upstream_id
        self._client.call(
            effect.ip,
            effect.port,
            "GET",
            "/health",
            timeout_ms=_CONTROL_TIMEOUT_MS,
            on_done=lambda result: self._polled(upstream_id, result),
        )

    def _cancel(self, effect: CancelUpstream) -> None:
        self._client.call(
            effect.ip,
            effect.port,
            "POST",
            "/cancel",
            orjson.dumps({"call": effect.call}),
            timeout_ms=_CONTROL_TIMEOUT_MS,
            on_done=lambda result: None,
        )

    # What comes back.

    def _polled(self, upstream_id: int, result: HttpReply | Failure) -> None:
        document = _health(result)
        draining = not isinstance(result, Failure) and _says_draining(result)
        now_ms = self._timers.now_ms()
        self.carry_out(self._core.on_health(upstream_id, document, now_ms, draining))

    def _opened(self, http: int) -> None:
        conn = self._core_by_http[http]
        self.carry_out(self._core.on_connected(conn, self._timers.now_ms()))

    def _replied(self, http: int, reply: HttpReply) -> None:
        conn = self._core_by_http[http]
        draining = _says_draining(reply)
        now_ms = self._timers.now_ms()
        self.carry_out(self._core.on_reply(conn, reply.status, draining, reply.body, now_ms))

    def _closed(self, http: int, reason: object) -> None:
        conn = self._core_by_http.pop(http)
        del self._http_by_core[conn]
        self.carry_out(self._core.on_connection_closed(conn, self._timers.now_ms()))


def _says_draining(reply: HttpReply) -> bool:
    return reply.headers.get("draining") == "1"


def _health(result: HttpReply | Failure) -> dict[str, Any] | None:
    if isinstance(result, Failure) or result.status != 200:
        return None
    try:
        document = orjson.loads(result.body)
    except orjson.JSONDecodeError:
        return None
    return document if isinstance(document, dict) else None
