"""An entry's runs and a relay's work over a link that is lost at any moment, without sockets."""

import itertools
import random
from pathlib import Path
from types import SimpleNamespace

import orjson

from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._relayparts import RelayParts
from rhubarbhinge.daemons._relaywork import RelayWork
from rhubarbhinge.daemons._runs import Runs
from rhubarbhinge.query import Catalog, RelayTarget
from rhubarbhinge.register import parse_register
from rhubarbhinge.routing import RelayPolicy, UpstreamSpec
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.web import Reply, Request, Responder
from rhubarbhinge.wire import UpstreamState, upstream_id

REGISTER = parse_register(Path("examples/kingston/register.json").read_bytes()).value
ACTION = "parts-order"
UPSTREAM = "spare-parts-stores-tracker-01"
NUMBER = upstream_id(UPSTREAM)
SPEC = UpstreamSpec(NUMBER, UPSTREAM, "127.0.0.1", 9001, slots=2, connections=5, connect_ms=1)
ENTRY = Peer("a/entry", "entry", "a", 11)
RUN_MS = 300.0
_KEY = b"0123456789abcdef"
_STEP_MS = 10.0


class Timers(FakeTimers):
    def every(self, period_ms, callback):
        def run():
            callback()
            self.after(period_ms, run)

        return self.after(period_ms, run)


class Upstream:
    """One relay's connections to an upstream that answers runs ``RUN_MS`` after they came.

    :param runs: the tickets of all runs, to which this relay's are added.
    """

    def __init__(self, timers: Timers, runs: list[str]) -> None:
        self._timers = timers
        self._runs = runs
        self._numbers = itertools.count(1)
        self._open: set[int] = set()

    def __call__(self, on_opened, on_replied, on_closed) -> "Upstream":
        self._on_opened, self._on_replied, self._on_closed = on_opened, on_replied, on_closed
        return self

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        number = next(self._numbers)
        self._open.add(number)
        self._later(number, 1.0, lambda: self._on_opened(number))
        return number

    def close(self, connection: int) -> None:
        def closed() -> None:
            self._open.discard(connection)
            self._on_closed(connection, "local")

        self._later(connection, 0.0, closed)

    def end(self) -> None:
        """Stop with the relay that owns the connections."""
        self._open.clear()

    def request(self, connection: int, method: str, path: str, body: bytes, timeout_ms: float):
        ticket = orjson.loads(body)["ticket"]
        self._runs.append(ticket)
        reply = Reply(200, {}, orjson.dumps({"ticket": ticket}))
        self._later(connection, RUN_MS, lambda: self._on_replied(connection, reply))

    def call(self, *arguments, **options) -> None:
        """Leave health polls without an answer."""

    def _later(self, connection: int, delay_ms: float, callback) -> None:
        def call() -> None:
            if connection in self._open:
                callback()

        self._timers.after(delay_ms, call)


class Link:
    """A connection that hands messages over in order until it is cut."""

    def __init__(self) -> None:
        self.up = False
        self.to_relay: list[object] = []
        self.to_entry: list[object] = []

    def cut(self) -> None:
        self.up = False
        self.to_relay.clear()
        self.to_entry.clear()


class World:
    """One entry, one relay, one upstream; ``held_up`` processes read nothing."""

    def __init__(self) -> None:
        self.timers = Timers()
        self.link = Link()
        self.ran: list[str] = []
        self.upstream = Upstream(self.timers, self.ran)
        self.answers: dict[int, dict] = {}
        self.relay_alive = True
        self.relay_held_up = False
        self.incarnation = 0
        self.catalog = Catalog()
        identity = Identity(ENTRY.name, "entry", "a", "127.0.0.1", 1, ENTRY.incarnation)
        self.runs = Runs(
            self.timers,
            SimpleNamespace(register=REGISTER),
            identity,
            _KEY,
            self._relay_of,
            lambda number: number == NUMBER and self.relay_alive,
            self._is_gone,
            self.catalog,
            self._to_relay,
            Metrics(),
            random.Random(1),
        )
        self.start_relay()

    # What happens.

    def start_relay(self) -> None:
        """Start the relay anew: it has forgotten all."""
        self.kill_relay()
        self.upstream = Upstream(self.timers, self.ran)
        self.incarnation += 1
        self.relay_alive = True
        name = "a/relay"
        identity = Identity(name, "relay", "a", "127.0.0.1", 2, self.incarnation)
        parts = RelayParts(
            self.timers, identity, random.Random(1), RelayPolicy(), self.upstream, self.upstream
        )
        self.relay = RelayWork(parts, self._to_entry, lambda report: None, lambda *_: None)
        self.relay.own(1, (SPEC,), frozenset())

    def kill_relay(self) -> None:
        """End the relay; the members learn of it at once."""
        self.upstream.end()
        self.relay_alive = False
        self.cut()

    def connect(self) -> None:
        """Link the two, and let the relay tell what it tells a new entry."""
        if self.link.up or not self.relay_alive:
            return
        self.link.up = True
        peer = Peer("a/relay", "relay", "a", self.incarnation)
        self.runs.on_link_up(peer)
        if self.link.up:
            self.link.to_entry.append(self.relay.core.load_report(self.timers.now_ms()))

    def cut(self) -> None:
        """Lose the link with all that is on it; both sides notice."""
        if not self.link.up:
            return
        self.link.cut()
        self.runs.on_link_lost(Peer("a/relay", "relay", "a", self.incarnation))
        self.relay.entry_gone(ENTRY.name)

    def show(self, number: int, ticket: str, body: bytes) -> None:
        """Show a ticket at the entry."""
        responder = Responder(lambda response: self._answered(number, response))
        self.runs.start(_request(f"/v1/run/{ticket}", body), responder)

    def mint(self, number: int) -> tuple[str, bytes]:
        """Get a ticket and its body."""
        body = orjson.dumps({"action": ACTION, "body": {"order": number}})
        got: list[dict] = []
        responder = Responder(lambda response: got.append(orjson.loads(response.body)))
        self.runs.start(_request("/v1/run", body), responder)
        return got[0]["ticket"], body

    def drain(self, upstream: str) -> None:
        """Let an upstream take no more work."""
        self.catalog.on_state(upstream_id(upstream), UpstreamState.DRAINING)

    def advance(self, duration_ms: float) -> None:
        """Let time pass; messages are read each few milliseconds."""
        for _ in range(int(duration_ms / _STEP_MS)):
            self.timers.advance(_STEP_MS)
            self._read()

    def outcome(self, number: int) -> str | None:
        """Give what a caller was told, None while it waits."""
        answer = self.answers.get(number)
        return answer and answer["outcome"]

    # The two sides.

    def _read(self) -> None:
        while self.link.up and self.link.to_entry:
            message = self.link.to_entry.pop(0)
            if hasattr(message, "relay_now_ms"):
                self.runs.on_relay_clock("a/relay", message.relay_now_ms)
            else:
                self.runs.on_message("a/relay", message)
        while self.link.up and self.link.to_relay and not self.relay_held_up:
            self.relay.take(ENTRY.name, self.link.to_relay.pop(0))
        if self.relay_alive and not self.relay_held_up:
            self.relay.flush()

    def _to_relay(self, node: str, message: object) -> bool:
        if self.link.up:
            self.link.to_relay.append(message)
        return self.link.up

    def _to_entry(self, node: str, message: object) -> None:
        if self.link.up:
            self.link.to_entry.append(message)

    def _relay_of(self, number: int) -> RelayTarget | None:
        if number != NUMBER or not self.link.up:
            return None
        return RelayTarget("a/relay", self.incarnation)

    def _is_gone(self, name: str, incarnation: int) -> bool:
        return not self.relay_alive or incarnation != self.incarnation

    def _answered(self, number: int, response) -> None:
        assert number not in self.answers
        self.answers[number] = orjson.loads(response.body)


def _request(path: str, body: bytes) -> Request:
    return Request("POST", path, {}, {}, body, "127.0.0.1")
