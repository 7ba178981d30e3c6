"""One component that owns many TCP connections."""

import errno
import itertools
import socket
from collections.abc import Callable, Iterable

from circuits import BaseComponent, handler

from rhubarbhinge.net._link import Link, LinkState
from rhubarbhinge.net._listener import Listener
from rhubarbhinge.net._poller import ReadyPoller
from rhubarbhinge.net._ready import act_on_ready
from rhubarbhinge.net._reason import CloseReason
from rhubarbhinge.net._sockets import (
    connect_error,
    connecting_socket,
    is_self_connected,
    round_trip_ms,
)
from rhubarbhinge.net._turns import Turns
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.shared import shared_component

DEFAULT_MAX_PENDING_BYTES = 8 * 1024 * 1024
"""Bytes pending to one peer above which the link is closed."""

RECEIVE_BYTES = 64 * 1024
"""Most bytes read from a link in one loop turn."""

FLUSH_BOUND_MS = 30_000.0
"""Longest that a close waits for what is pending to be written, in milliseconds."""

LINGER_BOUND_MS = 2_000.0
"""Longest that a close then waits for the peer's close, in milliseconds.

Closing at once while the peer still sends would reset the connection and might destroy what it
has not read yet (RFC 9112, 9.6).
"""

_AGAIN = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)
_CONNECT_STARTED = (0, errno.EINPROGRESS)
_CONNECT_FAULTS = {
    errno.ECONNREFUSED: CloseReason.REFUSED,
    errno.ETIMEDOUT: CloseReason.CONNECT_TIMEOUT,
}
_channels = itertools.count(1)


class Links(BaseComponent):
    """Owns TCP connections, inbound and outbound, and hands their data to plain callbacks.

    Callbacks run in the loop's thread and never from inside a method of this class. A peer that
    closes its sending side counts as gone. Addresses are IPv4. The tree's poller and timer service
    are used; a tree that has its own registers them first.

    :param on_open: called with the link and whether it is inbound.
    :param on_data: called with the link and the bytes read.
    :param on_close: called once for each link, with the link and a :class:`CloseReason`.
    :param bind: IP address and port to listen at, None to only make connections.
    :param max_pending_bytes: bytes pending to a peer above which its link is closed.
    :param notice_silence: whether links that it opens end when the peer's host is silent.
    :param channel: the circuits channel, unique by default.
    :raises OSError: when the port can not be bound.
    :ivar sent_bytes: bytes handed over to be sent since the start.
    """

    def __init__(
        self,
        on_open: Callable[[int, bool], None],
        on_data: Callable[[int, bytes], None],
        on_close: Callable[[int, CloseReason], None],
        bind: tuple[str, int] | None = None,
        max_pending_bytes: int = DEFAULT_MAX_PENDING_BYTES,
        notice_silence: bool = False,
        channel: str | None = None,
    ):
        super().__init__(channel=channel or f"links-{next(_channels)}")
        self._on_open = on_open
        self._on_data = on_data
        self._on_close = on_close
        self._max_pending_bytes = max_pending_bytes
        self._notice_silence = notice_silence
        self.sent_bytes = 0
        self._numbers = itertools.count(1)
        self._links: dict[int, Link] = {}
        self._by_sock: dict[socket.socket, Link] = {}
        self._dirty: list[Link] = []
        self._ended: list[tuple[int, CloseReason]] = []
        self._poller: ReadyPoller | None = None
        self._turns: Turns | None = None
        self._timers: TimerService | None = None
        self._listener = None if bind is None else Listener(bind)

    @property
    def bound_port(self) -> int:
        """The port listened at, 0 when made without one."""
        return 0 if self._listener is None else self._listener.port

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        """Start a connection; ``on_open`` or ``on_close`` is called later.

        :param ip: the peer's IP address.
        :param port: the peer's port.
        :param timeout_ms: longest that the connection may take, in milliseconds.
        :returns: the link.
        """
        self._attach()
        number = next(self._numbers)
        try:
            sock, fault = connecting_socket(ip, port, self._notice_silence)
        except OSError:
            self._note_ended(number, CloseReason.UNREACHABLE)
            return number
        link = self._add(number, sock, LinkState.CONNECTING, ip)
        if fault not in _CONNECT_STARTED:
            self._end(link, _CONNECT_FAULTS.get(fault, CloseReason.UNREACHABLE))
            return number
        self._poll_for_write(link)
        self._end_after(link, timeout_ms, CloseReason.CONNECT_TIMEOUT)
        return number

    def send(self, link: int, data: bytes) -> None:
        """Send bytes at the end of this loop turn; nothing happens if the link is closed.

        :param link: the link.
        :param data: the bytes.
        """
        found = self._links.get(link)
        if found is None or not found.takes_data:
            return
        found.pending.append(data)
        found.pending_bytes += len(data)
        self.sent_bytes += len(data)
        if found.pending_bytes > self._max_pending_bytes:
            self._end(found, CloseReason.OVERFLOW)
        elif not found.dirty:
            self._note_dirty(found)

    def flush(self, link: int) -> None:
        """Write what is pending on a link now, not at the end of the next loop turn.

        That turn runs due timers first, and what is read together with this, which may take long.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is not None and not found.polled_for_write:
            self._flush(found)

    def close(self, link: int) -> None:
        """Close a link after what is pending has been written, within a bound.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is None or not found.takes_data:
            return
        found.takes_data = False
        if found.state is LinkState.CONNECTING:
            self._end(found, CloseReason.LOCAL)
            return
        found.state = LinkState.FLUSHING
        self._end_after(found, FLUSH_BOUND_MS, CloseReason.LOCAL)
        if not found.dirty:
            self._note_dirty(found)

    def abort(self, link: int) -> None:
        """Close a link at once; what is pending is dropped.

        :param link: the link.
        """
        found = self._links.get(link)
        if found is not None:
            self._end(found, CloseReason.LOCAL)

    def stop_listening(self) -> None:
        """Accept no more connections but those that wait for it; those that are open stay.

        Closing would reset what the kernel holds for the listener, and with it requests that were
        sent before the stop.
        """
        if self._listener is None:
            return
        if self._timers is not None and self.root.running:
            last = list(self._listener.accept_all())
            self._timers.after(0, lambda: self._take(last))
        self._listener.close()

    @property
    def pending_bytes(self) -> int:
        """Bytes sent on all links that the kernel has not taken yet."""
        return sum(link.pending_bytes for link in self._links.values())

    def unsent_bytes(self, link: int) -> int:
        """Tell how much of what was sent on a link the kernel has not taken yet.

        :param link: the link.
        :returns: the bytes; 0 when the link is closed.
        """
        found = self._links.get(link)
        return 0 if found is None else found.pending_bytes

    def is_quiet(self, link: int) -> bool:
        """Tell whether a link is open and has neither data nor its end waiting to be read.

        :param link: the link.
        :returns: whether nothing has come in that ``on_data`` or ``on_close`` has not told.
        """
        found = self._links.get(link)
        return found is not None and found.state is LinkState.OPEN and _peek(found) is None

    def has_ended(self, link: int) -> bool:
        """Tell whether the peer's end of a link is next, which ``on_close`` has not told yet.

        :param link: the link.
        :returns: whether it has closed or reset the connection and all its data has been read.
        """
        found = self._links.get(link)
        return found is None or _peek(found) == b""

    def peer_ip(self, link: int) -> str:
        """Tell the IP address of a link's peer.

        :param link: the link.
        :returns: the address, empty when the link is closed.
        """
        found = self._links.get(link)
        return "" if found is None else found.peer_ip

    def round_trip_ms(self, link: int) -> float:
        """Tell how long a round trip to a link's peer takes.

        :param link: the link.
        :returns: the time, 0 when it is not known.
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
            self._forget(link)

    def on_readable(self, sock) -> None:
        """Read from a socket; called by the poller.

        :param sock: the socket.
        """
        if self.root.running:
            act_on_ready(self._timers, self._read, sock)

    def on_writable(self, sock) -> None:
        """Write to a socket; called by the poller.

        :param sock: the socket.
        """
        link = self._by_sock.get(sock)
        if link is not None and self.root.running:
            act_on_ready(self._timers, self._write, link)

    @handler("_disconnect", "_error")
    def _on_broken(self, sock, *_) -> None:
        link = self._by_sock.get(sock)
        if link is not None:
            self._broken(link, connect_error(sock))

    def _notify(self) -> None:
        ended, self._ended = self._ended, []
        for number, reason in ended:
            self._on_close(number, reason)

    def _flush_dirty(self) -> None:
        dirty, self._dirty = self._dirty, []
        self._flush_all(dirty)

    def _note_ended(self, number: int, reason: CloseReason) -> None:
        if not self._ended:
            self._turns.notify_soon(self._notify)
        self._ended.append((number, reason))

    def _note_dirty(self, link: Link) -> None:
        link.dirty = True
        if not self._dirty:
            self._turns.flush_soon(self._flush_dirty)
        self._dirty.append(link)

    def _read(self, sock) -> None:
        link = self._by_sock.get(sock)
        if link is not None:
            self._receive(link)
        elif self._listener is not None and sock is self._listener.sock:
            self._take(self._listener.accept_all())

    def _write(self, link: Link) -> None:
        if link.state is LinkState.CONNECTING:
            self._connected(link)
        else:
            self._flush(link)

    def _flush_all(self, links: list[Link]) -> None:
        for link in links:
            link.dirty = False
            if not link.polled_for_write:
                self._flush(link)

    def _attach(self) -> None:
        if self._poller is not None:
            return
        self._timers = shared_component(self, TimerService)
        self._poller = shared_component(self, ReadyPoller)
        self._turns = shared_component(self, Turns)
        if self._listener is not None:
            self._listener.attach(self, self._poller, self._timers)

    def _add(self, number: int, sock: socket.socket, state: LinkState, peer_ip: str) -> Link:
        link = Link(number, sock, state, peer_ip)
        self._links[number] = link
        self._by_sock[sock] = link
        return link

    def _take(self, accepted: Iterable[tuple[socket.socket, str]]) -> None:
        for sock, peer_ip in accepted:
            link = self._add(next(self._numbers), sock, LinkState.OPEN, peer_ip)
            self._poller.addReader(self, sock)
            self._on_open(link.number, True)

    def _connected(self, link: Link) -> None:
        fault = connect_error(link.sock)
        if not fault and is_self_connected(link.sock):
            fault = errno.ECONNREFUSED
        if fault:
            self._broken(link, fault)
            return
        self._cancel_timer(link)
        link.state = LinkState.OPEN
        link.polled_for_write = False
        self._poller.removeWriter(link.sock)
        self._poller.addReader(self, link.sock)
        if link.pending:
            self._flush(link)
        if link.number in self._links:
            self._on_open(link.number, False)

    def _broken(self, link: Link, fault: int) -> None:
        if link.state is LinkState.CONNECTING:
            self._end(link, _CONNECT_FAULTS.get(fault, CloseReason.UNREACHABLE))
        elif link.state is LinkState.OPEN:
            silent = fault == errno.ETIMEDOUT
            self._end(link, CloseReason.SILENT if silent else CloseReason.RESET)
        else:
            self._end(link, CloseReason.LOCAL)

    def _receive(self, link: Link) -> None:
        try:
            data = link.sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if error.errno not in _AGAIN:
                self._broken(link, error.errno)
            return
        if link.state is not LinkState.OPEN:
            if not data:
                self._end(link, CloseReason.LOCAL)
        elif data:
            self._on_data(link.number, data)
        else:
            self._end(link, CloseReason.PEER)

    def _flush(self, link: Link) -> None:
        if link.number not in self._links or link.state is LinkState.CONNECTING:
            return
        try:
            while link.pending:
                if not link.write_some():
                    self._poll_for_write(link)
                    return
        except OSError as error:
            if error.errno not in _AGAIN:
                self._broken(link, error.errno)
            else:
                self._poll_for_write(link)
            return
        self._flushed(link)

    def _flushed(self, link: Link) -> None:
        if link.polled_for_write:
            link.polled_for_write = False
            self._poller.removeWriter(link.sock)
        if link.state is LinkState.FLUSHING:
            self._shut_down(link)

    def _shut_down(self, link: Link) -> None:
        link.state = LinkState.DRAINING
        self._end_after(link, LINGER_BOUND_MS, CloseReason.LOCAL)
        try:
            link.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._end(link, CloseReason.LOCAL)

    def _poll_for_write(self, link: Link) -> None:
        if not link.polled_for_write:
            link.polled_for_write = True
            self._poller.addWriter(self, link.sock)

    def _end_after(self, link: Link, bound_ms: float, reason: CloseReason) -> None:
        self._cancel_timer(link)
        link.timer = self._timers.after(bound_ms, lambda: self._end(link, reason))

    def _cancel_timer(self, link: Link) -> None:
        if link.timer is not None:
            link.timer.cancel()
            link.timer = None

    def _end(self, link: Link, reason: CloseReason) -> None:
        if self._forget(link):
            self._note_ended(link.number, reason)

    def _forget(self, link: Link) -> bool:
        if self._links.pop(link.number, None) is None:
            return False
        del self._by_sock[link.sock]
        self._cancel_timer(link)
        link.pending.clear()
        link.pending_bytes = 0
        self._poller.discard(link.sock)
        link.sock.close()
        return True


def _peek(link: Link) -> bytes | None:
    """Look at what comes next: some data, ``b""`` for the end, None when nothing is there."""
    try:
        return link.sock.recv(1, socket.MSG_PEEK)
    except OSError as error:
        return None if error.errno in _AGAIN else b""
