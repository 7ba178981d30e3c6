"""A searcher on a port."""

import asyncio
import hashlib
import time
from collections import deque
from collections.abc import Callable

from rhubarbhinge.utils.testing_replies import ENDLESS_REPLIES
from standins.http import Connection, Delivery, Reply, Request, Server

RECORD_BYTES = 16
SLOTS = 4
"""Requests that a searcher executes at a time, as its entry in the store says."""
ENDS_AFTER_MS = 8.0
"""So long after a request that ends it was begun a searcher is gone."""
ENDLESS_PIECE_BYTES, ENDLESS_GAP_S = 16_384, 0.005
"""A reply without end goes on in such pieces and gaps."""
QUEUE = 12
"""Requests that wait for a slot; further ones are refused."""


class Searcher:
    """Answers each request with records that follow from its service's name.

    :param incarnation: its id.
    :param service: its service.
    :param zone: its failure domain.
    :param born: Unix time of its start, in ms; None for one that doesn't tell it.
    :ivar delay_ms: how long a request takes.
    :ivar work_ms: gives how long a request with a path takes, in place of ``delay_ms``.
    :ivar slots: how many requests it executes at a time.
    :ivar record_count: how many records an answer has.
    :ivar refuses: whether it has no room.
    :ivar takes_every: takes one request of so many and refuses the others.
    :ivar repeats_after_ms: sends each refusal once more after so long; None for not at all.
    :ivar endless: kind of the replies without end that it sends; empty for proper ones.
    :ivar resets_new: whether it resets new connections.
    :ivar ends_on: a part of the paths of requests that end it, some time after it began them.
    :ivar on_ended: told the path of the request that has ended it.
    :ivar gone: whether it has left for good, and is not to start again.
    :ivar arrivals: ids of the requests that it got, in order.
    :ivar arrived_s: when each of them came, on the steady clock.
    :ivar published_port: the port that its entry in the store names; its own if 0.
    :ivar begun: ids of those that it began to execute.
    :ivar ran: ids of those that it executed to the end.
    :ivar left: ids of those whose caller left first.
    """

    def __init__(
        self, incarnation: str, service: str, zone: str = "hall-a", born: int | None = None
    ) -> None:
        self.incarnation = incarnation
        self.born = born
        self.service = service
        self.zone = zone
        self.delay_ms = 2.0
        self.work_ms: Callable[[str], float] = lambda path: self.delay_ms
        self.slots = SLOTS
        self.record_count = 5
        self.refuses = False
        self.takes_every = 1
        self.repeats_after_ms: float | None = None
        self.endless = ""
        self.resets_new = False
        self.ends_on = ""
        self.on_ended: Callable[[str], None] = lambda path: None
        self.gone = False
        self.arrivals: list[str] = []
        self.arrived_s: list[float] = []
        self.published_port = 0
        self.begun: list[str] = []
        self.ran: list[str] = []
        self.left: list[str] = []
        self.port = 0
        self._breaks_off = False
        self._server = self._new_server()
        self._open: dict[Connection, tuple[str, asyncio.TimerHandle]] = {}
        self._waiting: deque[tuple[Connection, str, str]] = deque()

    @property
    def is_listening(self) -> bool:
        """Whether it runs."""
        return self._server.is_listening

    def listen(self) -> int:
        """Start.

        :returns: the port.
        """
        self.port = self._server.listen("127.0.0.1", 0)
        return self.port

    def close(self) -> None:
        """Refuse new connections."""
        if self._server.is_listening:
            self._server.stop_listening()

    def start_again(self, born: int) -> None:
        """Start again under the same id and address, knowing nothing of before.

        :param born: Unix time of its start, in ms.
        """
        self.born = born
        self._server = self._new_server()
        self._server.listen("127.0.0.1", self.port)

    def crash(self) -> None:
        """Refuse new connections and break all others off, as a process that ends."""
        self.close()
        self._waiting.clear()
        for _, timer in self._open.values():
            timer.cancel()
        self._open.clear()
        self._server.abort_all()

    def break_off_next(self) -> None:
        """End the connection of the next request in place of an answer."""
        self._breaks_off = True

    def entry(self, draining: bool = False) -> dict:
        """Describe it as the store does.

        :param draining: whether it is about to leave.
        :returns: the entry.
        """
        born = {} if self.born is None else {"born": self.born}
        return {
            **born,
            "service": self.service,
            "address": f"127.0.0.1:{self.published_port or self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": "draining" if draining else "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
        }

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in self._server.open_connections:
            connection.reset()

    @staticmethod
    def records(service: str, request_id: str, count: int = 5) -> list[bytes]:
        """Work out the records of an answer.

        :param service: the searcher's service.
        :param request_id: the request.
        :param count: how many.
        :returns: the records, in no particular order.
        """
        texts = (f"{service}/{request_id}/{place}" for place in range(count))
        return [hashlib.md5(text.encode()).digest() for text in texts]

    def signature(self, request_id: str) -> str:
        """Sign an answer.

        :param request_id: the request.
        :returns: the signature.
        """
        return f"{self.service}.{request_id}"

    def _requested(self, connection: Connection, request: Request) -> None:
        if request.headers.get("x-target-instance") != self.incarnation:
            connection.reply(Reply(421))
            return
        request_id = request.headers.get("x-request-id", "")
        self.arrivals.append(request_id)
        self.arrived_s.append(time.monotonic())
        if self._breaks_off:
            self._breaks_off = False
            connection.reply(Reply(200, delivery=Delivery.LOST))
            return
        sheds = len(self.arrivals) % self.takes_every > 0
        if self.refuses or sheds or len(self._waiting) >= QUEUE:
            self._refuse(connection, request_id)
            return
        self._waiting.append((connection, request_id, request.path))
        self._execute_next()

    def _refuse(self, connection: Connection, request_id: str) -> None:
        refusal = Reply(503, b"", (("X-Not-Executed", "1"), ("X-Request-Id", request_id)))
        connection.reply(refusal)
        if self.repeats_after_ms is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.repeats_after_ms / 1e3, connection.repeat, refusal)

    def _new_server(self) -> Server:
        def hold_ms(count: int) -> float | None:
            return None if self.resets_new else 0.0

        return Server(self._requested, self._gone, hold_ms, resets=True)

    def _execute_next(self) -> None:
        while self._waiting and len(self._open) < self.slots:
            connection, request_id, path = self._waiting.popleft()
            loop = asyncio.get_running_loop()
            if self.ends_on and self.ends_on in path:
                loop.call_later(ENDS_AFTER_MS / 1e3, self._end, path)
            timer = loop.call_later(self.work_ms(path) / 1e3, self._done, connection, request_id)
            self._open[connection] = (request_id, timer)
            self.begun.append(request_id)

    def _end(self, path: str) -> None:
        if self.is_listening:
            self.crash()
            self.on_ended(path)

    def _done(self, connection: Connection, request_id: str) -> None:
        del self._open[connection]
        self._execute_next()
        self.ran.append(request_id)
        if self.endless:
            start, repeated = ENDLESS_REPLIES[self.endless]
            piece = repeated * (ENDLESS_PIECE_BYTES // len(repeated))
            connection.reply_endlessly(start, piece, ENDLESS_GAP_S)
            return
        headers = (
            ("X-Request-Id", request_id),
            ("X-Response-Seal", self.signature(request_id)),
        )
        records = self.records(self.service, request_id, self.record_count)
        connection.reply(Reply(200, b"".join(records), headers))

    def _gone(self, connection: Connection) -> None:
        for waiting in list(self._waiting):
            if waiting[0] is connection:
                self._waiting.remove(waiting)
                self.left.append(waiting[1])
                return
        if connection not in self._open:
            # It was open when this searcher crashed.
            return
        request_id, timer = self._open.pop(connection)
        timer.cancel()
        self.left.append(request_id)
        self._execute_next()
