"""One caller's connection."""

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

from standins.http._heads import Head, answer_head, parse_head
from standins.http._reply import Delivery, Reply
from standins.http._request import Request

if TYPE_CHECKING:
    from standins.http._server import Server

_MOST_HEAD_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_MALFORMED = answer_head(400, (("Connection", "close"),), 0)


class Connection(asyncio.Protocol):
    """One caller's connection; requests are handled one at a time, in order.

    :param server: The server that accepted it.
    """

    def __init__(self, server: "Server") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._peer_ip = ""
        self._unread = b""
        self._head: Head | None = None
        self._busy = False
        self._held = False

    @property
    def peer_ip(self) -> str:
        """The caller's address."""
        return self._peer_ip

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, or close it when the server is at its cap."""
        self._transport = transport
        self._peer_ip = transport.get_extra_info("peername")[0]
        hold_ms = self._server.opened(self)
        if hold_ms is None and self._server.resets:
            self.reset()
        elif hold_ms is None:
            transport.abort()
        elif hold_ms > 0:
            self._held = True
            asyncio.get_running_loop().call_later(hold_ms / 1000, self._release)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the server that the caller is gone."""
        self._transport = None
        self._server.closed(self, self._busy)

    def data_received(self, data: bytes) -> None:
        """Take what arrived."""
        self._unread = self._unread + data if self._unread else data
        self._advance()

    def reply(self, reply: Reply) -> None:
        """Answer the present request; nothing happens when the caller is gone.

        :param reply: The answer.
        """
        if self._transport is None or not self._busy:
            return
        self._busy = False
        if reply.delivery is Delivery.LOST:
            self.close()
            return
        self._write(reply)
        if self._head.closes or reply.delivery is Delivery.CUT_SHORT:
            self.close()
        elif self._unread:
            asyncio.get_running_loop().call_soon(self._advance)

    def repeat(self, reply: Reply) -> None:
        """Send an answer once more, whatever has been asked since.

        :param reply: the answer.
        """
        if self._transport is not None:
            self._write(reply)

    def reply_endlessly(self, start: bytes, piece: bytes, gap_s: float) -> None:
        """Answer the present request without end, until the caller is gone.

        :param start: the beginning of the answer.
        :param piece: what follows it, again and again.
        :param gap_s: time between two pieces.
        """
        if self._transport is not None and self._busy:
            self._transport.write(start)
            self._go_on(piece, gap_s)

    def _go_on(self, piece: bytes, gap_s: float) -> None:
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size() < len(piece):
            self._transport.write(piece)
        asyncio.get_running_loop().call_later(gap_s, self._go_on, piece, gap_s)

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, with what is not yet sent."""
        if self._transport is not None:
            self._transport.abort()

    def _release(self) -> None:
        self._held = False
        self._advance()

    def _write(self, reply: Reply) -> None:
        data = answer_head(reply.status, reply.headers, len(reply.body)) + reply.body
        if reply.delivery is Delivery.CUT_SHORT:
            data = data[: -max(1, len(reply.body) // 2)]
        elif reply.delivery is Delivery.TWICE:
            data = data * 2
        self._transport.write(data)

    def _advance(self) -> None:
        if self._busy or self._held or self._transport is None:
            return
        end = self._unread.find(_END_OF_HEAD) + len(_END_OF_HEAD)
        if end < len(_END_OF_HEAD):
            if len(self._unread) > _MOST_HEAD_BYTES:
                self._refuse()
            return
        head = parse_head(self._unread[:end])
        if head is None:
            self._refuse()
        elif len(self._unread) >= end + head.body_bytes:
            self._take(head, end)

    def _take(self, head: Head, start: int) -> None:
        end = start + head.body_bytes
        body = self._unread[start:end]
        self._unread = self._unread[end:]
        self._head = head
        self._busy = True
        request = Request(head.method, head.path, head.query, head.headers, body)
        self._server.requested(self, request)

    def _refuse(self) -> None:
        self._transport.write(_MALFORMED)
        self.close()
