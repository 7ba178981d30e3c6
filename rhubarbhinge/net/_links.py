"""A circuits component that owns many TCP connections."""

import errno
import itertools
import math
import socket
from collections.abc import Callable, Iterable

from circuits import BaseComponent, handler

from rhubarbhinge.net._close_reason import CloseReason
from rhubarbhinge.net._link import Link, LinkState
from rhubarbhinge.net._listener import Listener
from rhubarbhinge.net._loop_hooks import LoopHooks
from rhubarbhinge.net._poller import ReadyPoller
from rhubarbhinge.net._socket_callback import run_socket_callback
from rhubarbhinge.net._sockets import (
    connecting_socket,
    is_self_connected,
    reset_on_close,
    round_trip_ms,
    take_socket_error,
)
from rhubarbhinge.net._stalled_link import StalledLink
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.shared import shared_component

DEFAULT_MAX_PENDING_BYTES = 8 * 1024 * 1024
"""Default limit of unsent bytes for one link; the link is closed when it is exceeded."""

MAX_RECEIVE_BYTES = 64 * 1024
"""Maximum number of bytes read from a link in one event loop iteration."""

FLUSH_TIMEOUT_MS = 30_000.0
"""Time, in milliseconds, without any data taken after which a closing link is reset."""

LINGER_TIMEOUT_MS = 2_000.0
"""Maximum time, in milliseconds, that a flushed link then waits for the peer to close.

Closing immediately while the peer still sends would reset the connection, which may discard data
that the peer has not read yet (RFC 9112, section 9.6).
"""

_RETRYABLE_ERRORS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)
_CONNECT_STARTED = (0, errno.EINPROGRESS)
_CONNECT_ERROR_REASONS = {
    errno.ECONNREFUSED: CloseReason.REFUSED,
    errno.ETIMEDOUT: CloseReason.CONNECT_TIMEOUT,
}
_channels = itertools.count(1)


class Links(BaseComponent):
    """Manages inbound and outbound TCP connections and passes received data to callbacks.

    Callbacks run in the event loop's thread and never from within a method of this class. A peer
    that shuts down its sending side is treated as closed. Only IPv4 addresses are supported. The
    component uses the poller and the timer service of its component tree, and registers default
    ones if the tree has none yet.

    :param on_open: called with the link and whether it is inbound.
    :param on_data: called with the link and the bytes read.
    :param on_close: called exactly once for each link, with the link and a :class:`CloseReason`.
    :param bind: IP address and port to listen on; None for outbound connections only.
    :param max_pending_bytes: limit of unsent bytes for one link; exceeding it closes the link. The
        limit also applies to a single message; owners that send messages of any length set it to
        infinity.
    :param detect_dead_peers: whether outbound links are closed when the peer's host stops
        responding.
    :param channel: the circuits channel; unique by default.
    :raises OSError: if the port can't be bound.
    :ivar sent_bytes: total number of bytes passed to :meth:`send`.
    :ivar pending_bytes: number of bytes, over all links, that the kernel has not accepted yet.
    :ivar stalled_closes: number of links closed because their peers took no data for too long.
    """

    def __init__(
        self,
        on_open: Callable[[int, bool], None],
        on_data: Callable[[int, bytes], None],
        on_close: Callable[[int, CloseReason], None],
        bind: tuple[str, int] | None = None,
        max_pending_bytes: float = DEFAULT_MAX_PENDING_BYTES,
        detect_dead_peers: bool = False,
        channel: str | None = None,
    ):
        super().__init__(channel=channel or f"links-{next(_channels)}")
        self._on_open = on_open
        self._on_data = on_data
        self._on_close = on_close
        self._max_pending_bytes = max_pending_bytes
        self._detect_dead_peers = detect_dead_peers
        self.sent_bytes = 0
        self.pending_bytes = 0
        self.stalled_closes = 0
        self._numbers = itertools.count(1)
        self._links: dict[int, Link] = {}
        self._by_sock: dict[socket.socket, Link] = {}
        self._stalled: dict[int, Link] = {}
        self._dirty: list[Link] = []
        self._pending_closes: list[tuple[int, CloseReason]] = []
        self._poller: ReadyPoller | None = None
        self._loop_hooks: LoopHooks | None = None
        self._timers: TimerService | None = None
        self._listener = None if bind is None else Listener(bind)

    @property
    def bound_port(self) -> int:
        """The port listened on; 0 if the component doesn't listen."""
        return 0 if self._listener is None else self._listener.port

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        """Start connecting; ``on_open`` or ``on_close`` is called later.

        :param ip: IP address of the peer.
        :param port: port of the peer.
        :param timeout_ms: connect timeout in milliseconds.
        :returns: the link.
        """
        self._attach()
        number = next(self._numbers)
        try:
            sock, error_code = connecting_socket(ip, port, self._detect_dead_peers)
        except OSError:
            self._queue_close_notice(number, CloseReason.UNREACHABLE)
            return number
        link = self._add(number, sock, LinkState.CONNECTING, ip)
        if error_code not in _CONNECT_STARTED:
            self._terminate(link, _CONNECT_ERROR_REASONS.get(error_code, CloseReason.UNREACHABLE))
            return number
        self._watch_writable(link)
        self._terminate_after(link, timeout_ms, CloseReason.CONNECT_TIMEOUT)
        return number

    def send(self, link: int, data: bytes) -> None:
        """Queue bytes, to be written at the end of this event loop iteration.

        Bytes for a closed link are dropped.

        :param link: the link.
        :param data: the bytes.
        """
        found = self._links.get(link)
        if found is None or not found.accepts_data:
            return
        found.pending.append(data)
        size_bytes = len(data)
        found.pending_bytes += size_bytes
        self.pending_bytes += size_bytes
        self.sent_bytes += size_bytes
        if found.pending_bytes > self._max_pending_bytes:
            log_event(
                "link-overflow",
                level="warning",
                ip=found.peer_ip,
                message_bytes=size_bytes,
                unsent_bytes=found.pending_bytes,
            )
            self._terminate(found, CloseReason.OVERFLOW)
        elif not found.dirty:
            self._mark_dirty(found)

    def flush(self, link: int) -> None:
        """Write a link's pending data now rather than at the end of the next event loop iteration.

        That iteration first runs due timers and reads other sockets, which may take long.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is not None and not found.watching_writable:
            self._flush(found)

    def close(self, link: int, timeout_ms: float = FLUSH_TIMEOUT_MS) -> None:
        """Close a link after its pending data has been written, or once no more of it is taken.

        :param link: the link.
        :param timeout_ms: time without any data taken by the peer after which the link is reset, in
            milliseconds.
        """
        found = self._links.get(link)
        if found is None or not found.accepts_data:
            return
        found.accepts_data = False
        if found.state is LinkState.CONNECTING:
            self._terminate(found, CloseReason.LOCAL)
            return
        found.state = LinkState.FLUSHING
        self._check_flush_after(found, timeout_ms, timeout_ms)
        if not found.dirty:
            self._mark_dirty(found)

    def abort(self, link: int) -> None:
        """Close a link immediately; pending data is discarded.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is not None:
            self._terminate(found, CloseReason.LOCAL)

    def reset(self, link: int) -> None:
        """Close a link whose peer reads too slowly; pending data is discarded.

        The connection is reset, so that a truncated message does not look complete.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is not None:
            reset_on_close(found.sock)
            self._terminate(found, CloseReason.STALLED)

    def pause_reading(self, link: int) -> None:
        """Read no more from a link; the peer is slowed down once the kernel's buffers are full.

        A close by the peer is not reported before reading is resumed.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is not None and found.state is LinkState.OPEN and found.reading:
            found.reading = False
            self._poller.removeReader(found.sock)

    def resume_reading(self, link: int) -> None:
        """Read from a link again.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is not None and not found.reading:
            found.reading = True
            self._poller.addReader(self, found.sock)

    def stop_listening(self) -> None:
        """Stop accepting connections; established ones, and those already in the backlog, are kept.

        Closing the listening socket resets connections that are still in its backlog, including
        requests that clients have already sent on them, so the backlog is accepted first.
        """
        if self._listener is None:
            return
        if self._timers is not None and self.root.running:
            accepted = list(self._listener.accept_pending())
            self._timers.after(0, lambda: self._add_accepted(accepted))
        self._listener.close()

    def stalled_links(self) -> list[StalledLink]:
        """Return the links whose data the kernel accepted only in part.

        :returns: the links, with the time for which their peers have taken nothing.
        """
        return [
            StalledLink(link.number, link.peer_ip, link.pending_bytes, self._quiet_ms(link))
            for link in self._stalled.values()
        ]

    def quiet_ms(self, link: int) -> float:
        """Return the time since the peer last took data that it had been late to take.

        :param link: the link.
        :returns: the time in milliseconds; infinite if all data was taken immediately.
        """
        found = self._links.get(link)
        return math.inf if found is None else self._quiet_ms(found)

    def unsent_bytes(self, link: int) -> int:
        """Return the number of bytes sent on a link that the kernel has not accepted yet.

        :param link: the link.
        :returns: the number of bytes; 0 if the link is closed.
        """
        found = self._links.get(link)
        return 0 if found is None else found.pending_bytes

    def is_idle(self, link: int) -> bool:
        """Return whether a link is open and has neither unread data nor an unread end of stream.

        :param link: the link.
        :returns: whether ``on_data`` or ``on_close`` has reported everything received so far.
        """
        found = self._links.get(link)
        return found is not None and found.state is LinkState.OPEN and _peek(found) is None

    def has_peer_closed(self, link: int) -> bool:
        """Return whether the peer has closed a link, even if ``on_close`` has not been called yet.

        :param link: the link.
        :returns: whether the peer has closed or reset the connection and all its data has been
            read.
        """
        found = self._links.get(link)
        return found is None or _peek(found) == b""

    def peer_ip(self, link: int) -> str:
        """Return the IP address of a link's peer.

        :param link: the link.
        :returns: the address; empty if the link is closed.
        """
        found = self._links.get(link)
        return "" if found is None else found.peer_ip

    def round_trip_ms(self, link: int) -> float:
        """Return the round-trip time of a link.

        :param link: the link.
        :returns: the time in milliseconds; 0 if it is unknown.
        """
        found = self._links.get(link)
        return 0.0 if found is None else round_trip_ms(found.sock)

    @handler("registered", channel="*")
    def _on_registered(self, component, manager) -> None:
        if component is self:
            self._attach()

    @handler("stopped", channel="*")
    def _on_stopped(self, manager) -> None:
        self.stop_listening()
        for link in list(self._links.values()):
            self._release(link)

    def on_readable(self, sock) -> None:
        """Read from a socket; called by the poller.

        :param sock: the readable socket.
        """
        if self.root.running:
            run_socket_callback(self._timers, self._handle_readable, sock)

    def on_writable(self, sock) -> None:
        """Write to a socket; called by the poller.

        :param sock: the writable socket.
        """
        link = self._by_sock.get(sock)
        if link is not None and self.root.running:
            run_socket_callback(self._timers, self._handle_writable, link)

    @handler("_disconnect", "_error")
    def _on_socket_error(self, sock, *_) -> None:
        link = self._by_sock.get(sock)
        if link is not None:
            self._handle_socket_error(link, take_socket_error(sock))

    def _report_closes(self) -> None:
        ended, self._pending_closes = self._pending_closes, []
        for number, reason in ended:
            self._on_close(number, reason)

    def _flush_dirty_links(self) -> None:
        dirty, self._dirty = self._dirty, []
        self._flush_all(dirty)

    def _queue_close_notice(self, number: int, reason: CloseReason) -> None:
        if not self._pending_closes:
            self._loop_hooks.notify_next_iteration(self._report_closes)
        self._pending_closes.append((number, reason))

    def _mark_dirty(self, link: Link) -> None:
        link.dirty = True
        if not self._dirty:
            self._loop_hooks.flush_this_iteration(self._flush_dirty_links)
        self._dirty.append(link)

    def _handle_readable(self, sock) -> None:
        link = self._by_sock.get(sock)
        if link is not None:
            self._receive(link)
        elif self._listener is not None and sock is self._listener.sock:
            self._add_accepted(self._listener.accept_pending())

    def _handle_writable(self, link: Link) -> None:
        if link.state is LinkState.CONNECTING:
            self._finish_connecting(link)
        else:
            self._flush(link)

    def _flush_all(self, links: list[Link]) -> None:
        for link in links:
            link.dirty = False
            if not link.watching_writable:
                self._flush(link)

    def _attach(self) -> None:
        if self._poller is not None:
            return
        self._timers = shared_component(self, TimerService)
        self._poller = shared_component(self, ReadyPoller)
        self._loop_hooks = shared_component(self, LoopHooks)
        if self._listener is not None:
            self._listener.attach(self, self._poller, self._timers)

    def _add(self, number: int, sock: socket.socket, state: LinkState, peer_ip: str) -> Link:
        link = Link(number, sock, state, peer_ip)
        self._links[number] = link
        self._by_sock[sock] = link
        return link

    def _add_accepted(self, accepted: Iterable[tuple[socket.socket, str]]) -> None:
        for sock, peer_ip in accepted:
            link = self._add(next(self._numbers), sock, LinkState.OPEN, peer_ip)
            self._poller.addReader(self, sock)
            self._on_open(link.number, True)

    def _finish_connecting(self, link: Link) -> None:
        error_code = _connect_error(link.sock)
        if error_code:
            self._handle_socket_error(link, error_code)
            return
        self._cancel_timer(link)
        link.state = LinkState.OPEN
        link.watching_writable = False
        self._poller.removeWriter(link.sock)
        self._poller.addReader(self, link.sock)
        if link.pending:
            self._flush(link)
        if link.number in self._links:
            self._on_open(link.number, False)

    def _handle_socket_error(self, link: Link, error_code: int) -> None:
        if link.state is LinkState.CONNECTING:
            self._terminate(link, _CONNECT_ERROR_REASONS.get(error_code, CloseReason.UNREACHABLE))
        elif link.state is LinkState.OPEN:
            silent = error_code == errno.ETIMEDOUT
            self._terminate(link, CloseReason.SILENT if silent else CloseReason.RESET)
        else:
            self._terminate(link, CloseReason.LOCAL)

    def _receive(self, link: Link) -> None:
        try:
            data = link.sock.recv(MAX_RECEIVE_BYTES)
        except OSError as error:
            if error.errno not in _RETRYABLE_ERRORS:
                self._handle_socket_error(link, error.errno)
            return
        if link.state is not LinkState.OPEN:
            if not data:
                self._terminate(link, CloseReason.LOCAL)
        elif data:
            self._on_data(link.number, data)
        else:
            self._terminate(link, CloseReason.PEER)

    def _flush(self, link: Link) -> None:
        if link.number not in self._links or link.state is LinkState.CONNECTING:
            return
        queued_bytes = link.pending_bytes
        try:
            while link.pending:
                if not link.write_pending():
                    self._on_partial_write(link, queued_bytes)
                    return
        except OSError as error:
            if error.errno not in _RETRYABLE_ERRORS:
                self.pending_bytes -= queued_bytes - link.pending_bytes
                self._handle_socket_error(link, error.errno)
            else:
                self._on_partial_write(link, queued_bytes)
            return
        self.pending_bytes -= queued_bytes
        self._on_flushed(link)

    def _on_partial_write(self, link: Link, queued_bytes: int) -> None:
        written_bytes = queued_bytes - link.pending_bytes
        self.pending_bytes -= written_bytes
        if written_bytes or link.number not in self._stalled:
            self._stalled[link.number] = link
            link.note_taken(self._timers.now_ms())
        self._watch_writable(link)

    def _quiet_ms(self, link: Link) -> float:
        if link.taken_ms is None:
            return math.inf
        now_ms = self._timers.now_ms()
        if link.number in self._stalled:
            link.look_for_progress(now_ms)
        return now_ms - link.taken_ms

    def _on_flushed(self, link: Link) -> None:
        if link.watching_writable:
            link.watching_writable = False
            self._poller.removeWriter(link.sock)
            if self._stalled.pop(link.number, None) is not None:
                link.taken_ms = self._timers.now_ms()
        if link.state is LinkState.FLUSHING:
            self._shut_down_write(link)

    def _shut_down_write(self, link: Link) -> None:
        link.state = LinkState.DRAINING
        self.resume_reading(link.number)
        self._terminate_after(link, LINGER_TIMEOUT_MS, CloseReason.LOCAL)
        try:
            link.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._terminate(link, CloseReason.LOCAL)

    def _watch_writable(self, link: Link) -> None:
        if not link.watching_writable:
            link.watching_writable = True
            self._poller.addWriter(self, link.sock)

    def _terminate_after(self, link: Link, timeout_ms: float, reason: CloseReason) -> None:
        self._cancel_timer(link)
        link.timer = self._timers.after(timeout_ms, lambda: self._terminate(link, reason))

    def _check_flush_after(self, link: Link, delay_ms: float, timeout_ms: float) -> None:
        self._cancel_timer(link)
        link.timer = self._timers.after(delay_ms, lambda: self._check_flush(link, timeout_ms))

    def _check_flush(self, link: Link, timeout_ms: float) -> None:
        left_ms = timeout_ms - self._quiet_ms(link)
        if left_ms > 0:
            self._check_flush_after(link, left_ms, timeout_ms)
        else:
            self._terminate(link, CloseReason.STALLED)

    def _cancel_timer(self, link: Link) -> None:
        if link.timer is not None:
            link.timer.cancel()
            link.timer = None

    def _terminate(self, link: Link, reason: CloseReason) -> None:
        if self._release(link):
            self.stalled_closes += reason is CloseReason.STALLED
            self._queue_close_notice(link.number, reason)

    def _release(self, link: Link) -> bool:
        if self._links.pop(link.number, None) is None:
            return False
        del self._by_sock[link.sock]
        self._cancel_timer(link)
        if self._stalled.pop(link.number, None) is not None:
            # What was written is truncated, and must not look like a complete message.
            reset_on_close(link.sock)
        self.pending_bytes -= link.pending_bytes
        link.pending.clear()
        link.pending_bytes = 0
        self._poller.discard(link.sock)
        link.sock.close()
        return True


def _connect_error(sock: socket.socket) -> int:
    """Return the error number of a connect that has completed, or 0 if the socket is connected."""
    error_code = take_socket_error(sock)
    if error_code:
        return error_code
    try:
        return errno.ECONNREFUSED if is_self_connected(sock) else 0
    except OSError as error:
        # The peer may reset the connection after its error was read.
        return take_socket_error(sock) or error.errno


def _peek(link: Link) -> bytes | None:
    """Return the next unread byte, ``b""`` at the end of the stream, or None without input."""
    try:
        return link.sock.recv(1, socket.MSG_PEEK)
    except OSError as error:
        return None if error.errno in _RETRYABLE_ERRORS else b""
