"""A rate-limited, non-blocking event log on standard output."""

import os
import select
import time
from collections import deque
from collections.abc import Callable

from rhubarbhinge.telemetry._format import Value, format_event, format_value

RATE_BYTES_PER_S = 64 * 1024
"""Sustained rate limit; some 300 lines per second, far above the normal output of an entry."""
BURST_BYTES = 256 * 1024
"""Burst limit after a quiet period, for incidents such as the loss of a failure domain."""
MAX_QUEUED_BYTES = 512 * 1024
"""Limit of queued output, to bound memory use; further lines are dropped."""
MAX_WRITE_BYTES = select.PIPE_BUF
"""Number of bytes that a writable pipe accepts without blocking (POSIX, ``write``)."""
RESERVED_FRACTION = 0.5
"""Fraction of the burst limit that only warnings and errors may use."""
RESERVED_LEVELS = ("warning", "error")


class EventLog:
    """Writes events; lines above the rate limit, or that no one reads, are dropped and counted.

    :param node: name of this node, which is part of each line.
    :param fd: file descriptor to write to.
    :param wall_clock: returns the time since the epoch, in seconds.
    :param monotonic_clock: returns a monotonic time, in seconds.
    """

    def __init__(
        self,
        node: str,
        fd: int = 1,
        wall_clock: Callable[[], float] = time.time,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ):
        self._node = format_value(node)
        self._fd = fd
        self._wall_clock = wall_clock
        self._monotonic_clock = monotonic_clock
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._budget_bytes = float(BURST_BYTES)
        self._refilled_s = monotonic_clock()
        self._unreported_drops = 0
        self.dropped = 0

    def write(self, level: str, name: str, fields: dict[str, Value]) -> None:
        """Queue an event; :meth:`flush` writes it.

        :param level: ``debug``, ``info``, ``warning`` or ``error``.
        :param name: name of the event.
        :param fields: fields of the event.
        """
        line = self._line(level, name, fields)
        if not self._reserve_budget(len(line), level in RESERVED_LEVELS):
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            self._enqueue(self._line("warning", "events-dropped", {"count": count}))
        self._enqueue(line)

    def flush(self) -> None:
        """Write queued lines as far as this is possible without blocking."""
        while self._queue and self._is_ready():
            chunk = self._queue[0][:MAX_WRITE_BYTES]
            try:
                written = os.write(self._fd, chunk)
            except OSError:
                # The reader has closed the pipe, so the lines can only be counted as dropped.
                self.dropped += len(self._queue)
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            rest = self._queue[0][written:]
            if rest:
                self._queue[0] = rest
            else:
                self._queue.popleft()

    def _is_ready(self) -> bool:
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(0))

    def _line(self, level: str, name: str, fields: dict[str, Value]) -> bytes:
        now_s = self._wall_clock()
        date_time = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now_s))
        prefix = f"time={date_time}.{int(now_s % 1 * 1e3):03d}Z level={level} node={self._node}"
        return f"{prefix} {format_event(name, fields)}\n".encode()

    def _reserve_budget(self, size: int, may_use_reserve: bool) -> bool:
        now_s = self._monotonic_clock()
        refill_bytes = (now_s - self._refilled_s) * RATE_BYTES_PER_S
        self._refilled_s = now_s
        self._budget_bytes = min(BURST_BYTES, self._budget_bytes + refill_bytes)
        reserved_bytes = 0.0 if may_use_reserve else RESERVED_FRACTION * BURST_BYTES
        if (
            self._budget_bytes - size < reserved_bytes
            or self._queued_bytes + size > MAX_QUEUED_BYTES
        ):
            return False
        self._budget_bytes -= size
        return True

    def _enqueue(self, line: bytes) -> None:
        self._queue.append(line)
        self._queued_bytes += len(line)
