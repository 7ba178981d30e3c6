"""The operators' store in simulated time."""

import bisect
import random
from dataclasses import dataclass, field

import orjson

from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.web import Request, Responder, Response
from standins.operators import CompactedError, StoreModel
from standins.tests.simulated_network import Connection

PAGE_ITEMS = 3
STALE_MS = 2_500.0
"""Greatest age of a list that may be stale."""


@dataclass(eq=False)
class _Watch:
    after: int
    responder: Responder
    connection: Connection


@dataclass
class SimulatedStore:
    """Serves a :class:`~standins.operators.StoreModel`.

    :param timers: the simulated time.
    :param rng: draws the age of stale lists and what is lost.
    :ivar delay_ms: time that a response takes.
    :ivar lost_share: share of the responses that are lost, and their connections with them.
    :ivar refusals: status for callers that are refused, by IP address.
    :ivar calls: calls so far, by IP address.
    """

    timers: FakeTimers
    rng: random.Random
    delay_ms: float = 4.0
    lost_share: float = 0.0
    model: StoreModel = field(default_factory=StoreModel)
    refusals: dict[str, int] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    _watches: list[_Watch] = field(default_factory=list)
    _copies: list[tuple[float, StoreModel]] = field(default_factory=list)

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        self.model.put(key, value)
        self._changed()

    def delete(self, key: str) -> None:
        """Delete an item."""
        self.model.delete(key)
        self._changed()

    def restore(self, copy) -> None:
        """Come back from a copy, as yet without an answer to watches that wait."""
        self.model.restore(copy)
        self._keep_copy()

    def cut_watches(self) -> None:
        """Reset the connections of all watches that wait."""
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.connection.on_reset()

    def compact(self) -> None:
        """Forget the history, and reset the connections of watches."""
        self.model.compact()
        self.cut_watches()

    def _changed(self) -> None:
        self._keep_copy()
        for watch in list(self._watches):
            self._answer_watch(watch)

    def _keep_copy(self) -> None:
        kept = StoreModel()
        kept.restore(self.model.copy())
        kept.era = self.model.era
        self._copies.append((self.timers.now_ms(), kept))

    def handle(self, connection: Connection, request: Request, responder: Responder) -> None:
        """Answer a call."""
        ip = request.peer_ip
        self.calls[ip] = self.calls.get(ip, 0) + 1
        if self.rng.random() < self.lost_share:
            connection.is_silent = True
        self.timers.after(self.delay_ms, lambda: self._serve(connection, request, responder))

    def _serve(self, connection: Connection, request: Request, responder: Responder) -> None:
        refusal = self.refusals.get(request.peer_ip)
        if refusal is not None:
            responder.answer(Response(refusal, headers=self._era_header(self.model)))
        elif request.path == "/v1/kv-range":
            model = self._stale_model() if "stale_ok" in request.query else self.model
            items, more = model.page("", request.query.get("after", ""), PAGE_ITEMS)
            self._answer(responder, model, {"items": items, "has_more": more})
        else:
            watch = _Watch(int(request.query["after"]), responder, connection)
            self._watches.append(watch)
            self.timers.after(int(request.query["wait_ms"]), lambda: self._end_watch(watch))
            self._answer_watch(watch)

    def _stale_model(self) -> StoreModel:
        time_ms = self.timers.now_ms() - self.rng.uniform(0.0, STALE_MS)
        place = bisect.bisect_right(self._copies, time_ms, key=lambda one: one[0])
        return self._copies[max(0, place - 1)][1]

    def _answer_watch(self, watch: _Watch) -> None:
        try:
            events = list(self.model.events("", watch.after))
        except CompactedError:
            self._watches.remove(watch)
            watch.responder.answer(Response(410, headers=self._era_header(self.model)))
            return
        if events:
            self._watches.remove(watch)
            self._answer(watch.responder, self.model, {"events": events})

    def _end_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer(watch.responder, self.model, {"events": []})

    def _answer(self, responder: Responder, model: StoreModel, page: dict) -> None:
        body = orjson.dumps({**page, "store_revision": model.revision})
        responder.answer(Response(200, body, self._era_header(model)))

    @staticmethod
    def _era_header(model: StoreModel) -> tuple[tuple[str, str], ...]:
        return (("Store-Era", str(model.era)),)
