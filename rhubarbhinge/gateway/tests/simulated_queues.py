"""An entry that forwards requests to searchers simulated behind its connection pool."""

import random
from collections.abc import Callable

from msgspec import Struct

from rhubarbhinge.fleet import DomainReachability, Fleet, ObservedSearcher, Searcher, expected_cost
from rhubarbhinge.forward import CallContext, CallerRequest, ConnectionPool
from rhubarbhinge.forward.tests.scripted import PlainDialect, reply
from rhubarbhinge.gateway import AnswerLeadTime, Gateway, GatewayDependencies
from rhubarbhinge.gateway._forward_admission import ForwardAdmission, service_queues
from rhubarbhinge.gather import ShardDelegation
from rhubarbhinge.net import CloseReason
from rhubarbhinge.plans import CallerLimits, Route, ServingPlan, WeightedService
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.retries import BudgetRule, RetryBudget
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.web import Request, Responder, Response

SERVICE = "orders"
OBJECTIVE_MS = 1_200.0
DEADLINE_MS = 5_000.0
WORK_MS = 180.0
SLOTS = 6
ROUTE = Route(
    "orders", "a", "/", False, DEADLINE_MS, OBJECTIVE_MS, 2, 2, (WeightedService(SERVICE, 1.0),)
)
URGENT = Route(
    "urgent", "b", "/", False, DEADLINE_MS, OBJECTIVE_MS, 0, 2, (WeightedService(SERVICE, 1.0),)
)


class QueueDialect(PlainDialect):
    def decode_request(self, request: Request) -> CallerRequest:
        wait_ms = float(request.headers["wait"])
        name = request.target[1:]
        return CallerRequest(name, b"GET /x\r\n", b"", wait_ms, "", request.peer_ip)

    def encode_reply(self, reply) -> Response:
        return Response(reply.status, reply.body)


class FixedPlan:
    plan = ServingPlan(1, (ROUTE, URGENT), {}, CallerLimits())

    def age_ms(self) -> float:
        return 0.0


class SimulatedLinks:
    """Connections to searchers that take :data:`WORK_MS` for each request."""

    sent_bytes = 0

    def __init__(self, timers: FakeTimers):
        self._timers = timers
        self.pool: ConnectionPool | None = None
        self._ports: dict[int, int] = {}
        self.gone: set[int] = set()
        self.sent: list[str] = []

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        link = len(self._ports) + 1
        self._ports[link] = port
        self._timers.after(1.0, lambda: self._connect(link))
        return link

    def is_idle(self, link: int) -> bool:
        return True

    def abort(self, link: int) -> None:
        self._ports[link] = 0

    def send(self, link: int, data: bytes) -> None:
        name = data.split(b"Id: ")[1].split(b"\r\n")[0].decode()
        self.sent.append(name)
        self._timers.after(WORK_MS, lambda: self._reply(link, name))

    def close_all(self, port: int) -> None:
        self.gone.add(port)
        for link in [link for link, one in self._ports.items() if one == port]:
            self.pool._closed(link, CloseReason.RESET)

    def _connect(self, link: int) -> None:
        if self._ports[link] in self.gone:
            self.pool._closed(link, CloseReason.REFUSED)
        else:
            self.pool._opened(link, False)

    def _reply(self, link: int, name: str) -> None:
        if self._ports[link] and self._ports[link] not in self.gone:
            self.pool._received(link, reply(name))


class Ended(Struct):
    """What a caller saw of a request."""

    name: str
    caller: str
    arrived_ms: float
    took_ms: float
    status: int
    retry_after_ms: float | None


class SimulatedQueues:
    """An entry with searchers of one service, and a fake clock.

    :param searchers: number of searchers.
    """

    def __init__(self, searchers: int = 4):
        self.timers = FakeTimers()
        self.links = SimulatedLinks(self.timers)
        self.fleet = Fleet(self.timers.now_ms, lambda observed: self.pool.forget(observed))
        for place in range(searchers):
            self.fleet.put(Searcher(f"i-{place}", SERVICE, "10.0.0.1", 81 + place, "d", SLOTS))
        reachability = DomainReachability(self.timers.now_ms, lambda domain: None)
        dialect = QueueDialect()
        self.pool = ConnectionPool(
            self.timers, dialect, lambda observed: SLOTS, self.fleet.mark_gone, reachability
        )
        self.pool._links = self.links
        self.links.pool = self.pool
        now_ms, rng = self.timers.now_ms, random.Random(1)
        budget = RetryBudget(BudgetRule(0.2, 10.0, 10_000.0), now_ms, lambda: 1)
        metrics = Metrics()
        context = CallContext(
            self.timers, self.fleet, expected_cost("d", rng), budget, self.pool.send, metrics
        )
        self.admission = ForwardAdmission(service_queues(self.fleet, self.pool), now_ms, rng)
        quarantine = Quarantine(now_ms, lambda name: True, lambda: None, rng)
        dependencies = GatewayDependencies(
            context,
            dialect,
            FixedPlan(),
            metrics,
            rng,
            ShardDelegation(lambda request, terms, served: {}, None),
            AnswerLeadTime(lambda: 0.0),
            lambda: 0.0,
            quarantine,
            self.admission,
        )
        self.gateway = Gateway(dependencies)
        for route in (ROUTE, URGENT):
            for _ in range(64):
                self.gateway.delays_of(route.name, OBJECTIVE_MS).add(WORK_MS)
        self.ended: list[Ended] = []
        self.arrived = 0

    def request(
        self,
        caller: str = "10.1.0.1",
        host: str = "a",
        wait_ms: float = DEADLINE_MS,
        on_end: Callable[[Ended], None] = lambda ended: None,
    ) -> str:
        """Send a request now."""
        self.arrived += 1
        name, arrived_ms = f"r{self.arrived}", self.timers.now_ms()

        def answer(response: Response) -> None:
            pause = dict(response.headers).get("Retry-After")
            took_ms = self.timers.now_ms() - arrived_ms
            pause_ms = None if pause is None else 1e3 * float(pause)
            ended = Ended(name, caller, arrived_ms, took_ms, response.status, pause_ms)
            self.ended.append(ended)
            on_end(ended)

        request = Request(
            "GET", "/x", {}, {"host": host, "wait": str(wait_ms)}, b"", caller, f"/{name}"
        )
        self.gateway.handle(request, Responder(answer))
        return name

    def burst(self, count: int, over_ms: float) -> None:
        """Let that many callers send one request each, evenly spread over a time."""
        for place in range(count):
            caller = f"10.2.{place // 250}.{place % 250}"
            self.timers.after(over_ms * place / count, lambda caller=caller: self.request(caller))

    def vanish(self, place: int) -> None:
        """End a searcher: its connections are reset and it is removed from the fleet."""
        self.links.close_all(81 + place)
        self.fleet.remove(f"i-{place}")

    def observed(self) -> list[ObservedSearcher]:
        return list(self.fleet.of_service(SERVICE))
