"""Applies a relay core's effects to fake searchers, and checks its invariants on each."""

from random import Random

import orjson

from rhubarbhinge.routing import (
    CancelUpstream,
    CloseConnection,
    OpenConnection,
    RelayCore,
    RelayPolicy,
    Reply,
    RunResult,
    SendRun,
    SendSearch,
    UpstreamSpec,
)
from rhubarbhinge.wire import CancelBatch, SubBatch, SubCode, upstream_id

RELAY_INCARNATION = 7
NAMES = ("desk-01-a", "desk-02-a")
IDS = tuple(upstream_id(name) for name in NAMES)
#: Response body of a searcher that sheds a request.
SHED = {"code": "shed", "not_run": True, "retry_after_ms": 50}


def spec(index: int = 0, **changes: object) -> UpstreamSpec:
    fields = {"slots": 2, "connections": 5, "connect_ms": 6} | changes
    return UpstreamSpec(IDS[index], NAMES[index], "127.0.0.1", 9001 + index, **fields)


def health(index: int = 0, incarnation: int = 1, state: str = "ready") -> dict:
    ranges = [{"lo": 0, "hi": 8192, "records": 6000}]
    collections = {"overhauls": {"41": {"total_records": 48000, "ranges": ranges}}}
    return {
        "name": NAMES[index],
        "incarnation": incarnation,
        "state": state,
        "slots": 2,
        "busy": 0,
        "collections": collections,
    }


class FakeShell:
    """Records what searchers would see; raises AssertionError if an invariant is violated."""

    def __init__(self, *specs: UpstreamSpec, **policy: int) -> None:
        self.now_ms = 1000
        self.core = RelayCore(RELAY_INCARNATION, RelayPolicy(**policy), Random(1))
        self.specs: dict[int, UpstreamSpec] = {}
        self.revision = 0
        self.conns: dict[int, int] = {}
        self.opening: list[int] = []
        #: Connections opened since the searcher's latest incarnation was first seen.
        self.current_conns: set[int] = set()
        self.closing: list[int] = []
        self.busy: dict[int, dict] = {}
        self.leaving: set[int] = set()
        self.register_leaving: set[int] = set()
        self.expected_by_ms: dict[tuple, int] = {}
        self.replies: dict[tuple, Reply] = {}
        self.cancelled: set[tuple] = set()
        self.sent_tickets: list[str] = []
        self.not_run_answers: set[str] = set()
        self.results: dict[str, RunResult] = {}
        self.cancels: list[str] = []
        self.effects: list = []
        self.next_call = 0
        self.vm_list_leaving: frozenset[int] = frozenset()
        self.incarnations = [1, 1]
        if specs:
            self.register(*specs)

    def apply(self, effects: list) -> list:
        for effect in effects:
            handler = getattr(self, f"_{type(effect).__name__.lower()}", None)
            if handler is not None:
                handler(effect)
        self.effects += effects
        return effects

    def register(self, *specs: UpstreamSpec, newer: bool = True) -> list:
        self.revision += newer
        self.specs |= {each.upstream_id: each for each in specs}
        if newer:
            self.register_leaving.clear()
        self.register_leaving |= {each.upstream_id for each in specs if each.leaving}
        return self.apply(self.core.set_upstreams(self.revision, specs, self.now_ms))

    def batch(
        self,
        *indexes: int,
        deadline_ms: int = 200,
        weight: int = 8,
        peer: str = "entry",
        **changes: object,
    ) -> list:
        self.next_call += 1
        count = len(indexes)
        fields = {
            "call_id": self.next_call,
            "receiver_incarnation": RELAY_INCARNATION,
            "register_revision": 1,
            "collection": "overhauls",
            "version": 41,
            "text": 'bea"ring %d',
            "limit": 10,
            "deadline_ms": deadline_ms,
            "weight": weight,
            "parts": tuple(range(count)),
            "attempts": (0,) * count,
            "upstream_ids": tuple(IDS[index] for index in indexes),
            "los": (0,) * count,
            "his": (8192,) * count,
        } | changes
        for part in range(count):
            self.expected_by_ms[peer, fields["call_id"], part, 0] = self.now_ms + deadline_ms
        return self.apply(self.core.on_batch(peer, SubBatch(**fields), self.now_ms))

    def run(self, ticket: str, index: int = 0, deadline_ms: int = 200) -> list:
        effects = self.core.on_run(
            "entry", ticket, IDS[index], "parts-order", b'{"part":1}', deadline_ms, self.now_ms
        )
        return self.apply(effects)

    def cancel(self, call_id: int, part: int = 0) -> list:
        self.cancelled |= {("entry", call_id, part, 0)} & self.expected_by_ms.keys()
        batch = CancelBatch((call_id,), (part,), (0,))
        return self.apply(self.core.on_cancel("entry", batch, self.now_ms))

    def peer_gone(self) -> list:
        self.cancelled |= {key for key in self.expected_by_ms if key[0] == "entry"}
        return self.apply(self.core.on_peer_gone("entry", self.now_ms))

    def connect(self, count: int = 99) -> None:
        while self.opening and count:
            count -= 1
            self.apply(self.core.on_connected(self.opening.pop(0), self.now_ms))

    def close(self, conn: int) -> list:
        del self.conns[conn]
        for held in (self.opening, self.closing):
            if conn in held:
                held.remove(conn)
        self.busy.pop(conn, None)
        return self.apply(self.core.on_connection_closed(conn, self.now_ms))

    def close_requested(self) -> None:
        for conn in list(self.closing):
            self.close(conn)

    def answer(
        self, conn: int | None = None, status: int = 200, draining: bool = False, **changes
    ) -> list:
        conn = next(iter(self.busy)) if conn is None else conn
        request = self.busy.pop(conn)
        own = {name: request[name] for name in ("call", "ticket") if name in request}
        body = (own if status == 200 else {}) | changes
        if changes.get("not_run") and "ticket" in request:
            self.not_run_answers.add(request["ticket"])
        if conn in self.current_conns and (draining or changes.get("code") == "draining"):
            self.leaving.add(self.conns[conn])
        data = orjson.dumps(body)
        return self.apply(self.core.on_reply(conn, status, draining, data, self.now_ms))

    def health(self, index: int, doc: dict | None) -> list:
        if doc is not None and doc["state"] == "draining":
            self.leaving.add(IDS[index])
        return self.apply(self.core.on_health(IDS[index], doc, self.now_ms))

    def vm_list(self, *indexes: int) -> list:
        leaving = frozenset(IDS[index] for index in indexes)
        self.leaving |= leaving - self.vm_list_leaving
        self.vm_list_leaving = leaving
        return self.apply(self.core.set_leaving(leaving, self.now_ms))

    def restarted(self, index: int) -> None:
        self.leaving.discard(IDS[index])
        self.current_conns -= {conn for conn, name in self.conns.items() if name == IDS[index]}
        self.health(index, health(index, self.incarnations[index]))

    def wait(self, ms: int, step_ms: int = 10) -> None:
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + step_ms)
            self.apply(self.core.tick(self.now_ms))

    def warm(self) -> "FakeShell":
        self.connect()
        for index in range(len(self.specs)):
            self.health(index, health(index))
        self.wait(3000)
        self.connect()
        self.effects.clear()
        return self

    def codes(self) -> list[int]:
        return [reply.code for reply in self.replies.values()]

    def report(self, index: int = 0) -> dict[str, int]:
        report = self.core.load_report(self.now_ms)
        at = report.upstream_ids.index(IDS[index])
        names = ("states", "queued", "in_flight", "slots")
        return {name: getattr(report, name)[at] for name in names}

    def report_sum(self, name: str) -> int:
        return sum(getattr(self.core.load_report(self.now_ms), name))

    def _openconnection(self, effect: OpenConnection) -> None:
        assert effect.conn not in self.conns
        self.conns[effect.conn] = effect.upstream_id
        self.opening.append(effect.conn)
        self.current_conns.add(effect.conn)
        opened = list(self.conns.values()).count(effect.upstream_id)
        cap = self.specs[effect.upstream_id]
        assert opened <= max(1, int(cap.connections * cap.share) - 1), "connection cap exceeded"

    def _closeconnection(self, effect: CloseConnection) -> None:
        assert effect.conn in self.conns and effect.conn not in self.closing
        self.closing.append(effect.conn)
        if effect.conn in self.opening:
            self.opening.remove(effect.conn)

    def _sendsearch(self, effect: SendSearch) -> None:
        self._send(effect)

    def _sendrun(self, effect: SendRun) -> None:
        ticket = self._send(effect)["ticket"]
        if ticket not in self.not_run_answers:
            assert ticket not in self.sent_tickets, "run was sent twice"
        self.sent_tickets.append(ticket)

    def _send(self, effect: SendSearch | SendRun) -> dict:
        conn = effect.conn
        assert conn in self.conns and conn not in self.opening and conn not in self.closing
        assert conn not in self.busy, "connection already carries a request"
        upstream = self.conns[conn]
        assert (
            upstream not in self.leaving | self.register_leaving
        ), "request sent to a draining searcher"
        self.busy[conn] = request = orjson.loads(effect.body)
        assert 0 < request["deadline_ms"] < effect.timeout_ms
        in_flight = [busy for busy in self.busy if self.conns[busy] == upstream]
        slots = self.specs[upstream].slots * self.specs[upstream].share
        assert len(in_flight) <= max(1, int(slots)), "slots exceeded"
        return request

    def _cancelupstream(self, effect: CancelUpstream) -> None:
        self.cancels.append(effect.call)

    def _reply(self, effect: Reply) -> None:
        key = (effect.peer, effect.call_id, effect.part, effect.attempt)
        assert (
            key in self.expected_by_ms and key not in self.replies
        ), "duplicate or unexpected reply"
        assert key not in self.cancelled, "reply to a cancelled sub-query"
        if effect.code == SubCode.QUEUE_FULL:
            assert effect.retry_after_ms > 0
        self.replies[key] = effect

    def _runresult(self, effect: RunResult) -> None:
        if effect.kind == "refused_not_run":
            unproved = effect.ticket in self.sent_tickets
            assert (
                not unproved or effect.ticket in self.not_run_answers
            ), "run reported as not run after it was sent"
        self.results[effect.ticket] = effect
