"""Limits the bytes buffered for slow readers: pauses replies and closes connections."""

from collections.abc import Callable, Mapping, Sequence

from rhubarbhinge.forward import ConnectionPool
from rhubarbhinge.gateway._buffer_limit import BufferLimit, Reader
from rhubarbhinge.net import Links
from rhubarbhinge.telemetry import log_event

RESPONSES = "responses"
"""Kind of bytes: responses that callers have not taken."""
REPLIES = "replies"
"""Kind of bytes: incomplete replies of searchers, and requests that searchers have not taken."""
MESSAGES = "messages"
"""Kind of bytes: messages that other entries have not taken."""
MAX_SINGLE_EVENTS = 5
"""Maximum number of closed connections that have a log line each between two periodic checks.
Hundreds of slow readers may be closed together, and would use up the log's budget."""


class SlowReaders:
    """Applies the limit of buffered bytes to the connections of an entry.

    :param limit: decides what is paused, refused and closed.
    :param pool: connections to searchers.
    :param responses: connections of callers.
    :param messages: connections to and from other entries.
    :param now_ms: returns the current time.
    """

    def __init__(
        self,
        limit: BufferLimit,
        pool: ConnectionPool,
        responses: Links,
        messages: Sequence[Links],
        now_ms: Callable[[], float],
    ):
        self._limit = limit
        self._pool = pool
        self._readers = {RESPONSES: (responses,), MESSAGES: tuple(messages)}
        self._now_ms = now_ms
        self._received_bytes = 0
        self._closed_in_period = 0
        self._unlogged_bytes = 0

    @property
    def closed(self) -> int:
        """Number of connections closed since the start because their readers were too slow."""
        return sum(links.stalled_closes for group in self._readers.values() for links in group)

    def bytes_by_kind(self) -> Mapping[str, int]:
        """Return the buffered bytes.

        :returns: bytes by kind; those of incomplete replies as of the last check.
        """
        return {
            RESPONSES: sum(links.pending_bytes for links in self._readers[RESPONSES]),
            # Long bodies count once, with the requests of callers.
            REPLIES: self._received_bytes
            + self._pool.links.pending_bytes
            - self._pool.shared_unsent_bytes,
            MESSAGES: sum(links.pending_bytes for links in self._readers[MESSAGES]),
        }

    def refuses_requests(self) -> bool:
        """Return whether new requests are refused.

        :returns: whether more bytes are buffered than allowed.
        """
        return sum(self.bytes_by_kind().values()) > self._limit.limit_bytes

    def on_unsent(self) -> None:
        """Enforce the limit if a response that could not be written whole exceeds it."""
        if self.refuses_requests():
            self._enforce()

    def check(self) -> None:
        """Enforce the limit; called periodically."""
        self._log_others()
        self._enforce()

    def _enforce(self) -> None:
        """Pause or resume replies, and close slow readers if the limit is exceeded."""
        self._received_bytes = self._pool.received_bytes
        self._limit.update(self.bytes_by_kind(), self._now_ms())
        if self._limit.refuses_requests:
            self._close(self._limit.readers_to_close(self._unread()))
        if self._limit.pauses_reading:
            self._pool.pause_large_replies()
        else:
            self._pool.resume_replies()

    def _unread(self) -> list[Reader]:
        return [
            Reader((kind, index, stalled.link), stalled.unsent_bytes, stalled.quiet_ms)
            for kind, group in self._readers.items()
            for index, links in enumerate(group)
            for stalled in links.stalled_links()
        ]

    def _close(self, readers: Sequence[Reader]) -> None:
        for reader in readers:
            kind, index, link = reader.key
            links = self._readers[kind][index]
            self._closed_in_period += 1
            if self._closed_in_period > MAX_SINGLE_EVENTS:
                self._unlogged_bytes += reader.unread_bytes
            else:
                log_event(
                    "slow-reader-closed",
                    level="warning",
                    kind=kind,
                    ip=links.peer_ip(link),
                    unread_bytes=reader.unread_bytes,
                    quiet_ms=round(reader.quiet_ms),
                    why="over-limit",
                )
            links.reset(link)

    def _log_others(self) -> None:
        others = self._closed_in_period - MAX_SINGLE_EVENTS
        if others > 0:
            log_event(
                "slow-readers-closed",
                level="warning",
                count=others,
                unread_bytes=self._unlogged_bytes,
            )
        self._closed_in_period = self._unlogged_bytes = 0
