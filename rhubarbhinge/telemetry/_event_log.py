"""Events on standard output, bounded, without ever waiting for who reads them."""

import os
import select
import time
from collections import deque
from collections.abc import Callable

from rhubarbhinge.telemetry._format import Value, format_event, format_value

RATE_BYTES_PER_S = 64 * 1024
"""Bytes of events a second; some 300 lines, far above what a calm entry writes."""
BURST_BYTES = 256 * 1024
"""What may be written at once after a quiet time, such as a lost failure domain."""
WAITING_BYTES = 512 * 1024
"""Most bytes that wait for a reader; more are dropped, so that memory is bounded."""
CHUNK_BYTES = select.PIPE_BUF
"""A pipe that is ready takes so many bytes without blocking (POSIX, ``write``)."""
RESERVED_SHARE = 0.5
"""Part of the budget that is kept for warnings and errors."""
URGENT = ("warning", "error")


class EventLog:
    """Writes events; what is above the budget, or what nobody reads, is dropped and counted.

    :param node: name of this node, which each line carries.
    :param fd: where lines go.
    :param wall_s: gives the time of day, in seconds.
    :param steady_s: gives a time that never jumps, in seconds.
    """

    def __init__(
        self,
        node: str,
        fd: int = 1,
        wall_s: Callable[[], float] = time.time,
        steady_s: Callable[[], float] = time.monotonic,
    ):
        self._node = format_value(node)
        self._fd = fd
        self._wall_s = wall_s
        self._steady_s = steady_s
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._budget_bytes = float(BURST_BYTES)
        self._counted_s = steady_s()
        self._unreported = 0
        self.dropped = 0

    def write(self, level: str, name: str, fields: dict[str, Value]) -> None:
        """Take an event; it is written by :meth:`flush`.

        :param level: ``debug``, ``info``, ``warning`` or ``error``.
        :param name: name of the event.
        :param fields: its fields.
        """
        line = self._line(level, name, fields)
        if not self._may_take(len(line), level in URGENT):
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            count, self._unreported = self._unreported, 0
            self._take(self._line("warning", "events-dropped", {"count": count}))
        self._take(line)

    def flush(self) -> None:
        """Write what the reader takes without making this process wait."""
        while self._waiting and self._is_ready():
            chunk = self._waiting[0][:CHUNK_BYTES]
            try:
                written = os.write(self._fd, chunk)
            except OSError:
                # Nobody can read it any more; the counter of dropped lines is all that is left.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            rest = self._waiting[0][written:]
            if rest:
                self._waiting[0] = rest
            else:
                self._waiting.popleft()

    def _is_ready(self) -> bool:
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(0))

    def _line(self, level: str, name: str, fields: dict[str, Value]) -> bytes:
        now_s = self._wall_s()
        day = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now_s))
        head = f"time={day}.{int(now_s % 1 * 1e3):03d}Z level={level} node={self._node}"
        return f"{head} {format_event(name, fields)}\n".encode()

    def _may_take(self, size: int, urgent: bool) -> bool:
        now_s = self._steady_s()
        earned_bytes = (now_s - self._counted_s) * RATE_BYTES_PER_S
        self._counted_s = now_s
        self._budget_bytes = min(BURST_BYTES, self._budget_bytes + earned_bytes)
        least_bytes = 0.0 if urgent else RESERVED_SHARE * BURST_BYTES
        if self._budget_bytes - size < least_bytes or self._waiting_bytes + size > WAITING_BYTES:
            return False
        self._budget_bytes -= size
        return True

    def _take(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)
