"""A port in front of a searcher, whose connections can be harmed from outside both ends."""

import asyncio
import random
from collections.abc import Callable

READ_BYTES = 65_536


class Proxy:
    """Carries connections to a port, and harms them when told to.

    :param port: gives the port to connect to.
    :ivar delay_s: how long each piece of bytes is held.
    :ivar silent: whether bytes are swallowed without an end of the connection.
    """

    def __init__(self, port: Callable[[], int]) -> None:
        self._port = port
        self.delay_s = 0.0
        self.silent = False
        self.port = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    async def listen(self) -> int:
        """Start.

        :returns: the port.
        """
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def close(self) -> None:
        """Stop; open connections are reset."""
        if self._server is not None:
            self._server.close()
        self.reset(1.0, random.Random(0))

    def reset(self, share: float, rng: random.Random) -> None:
        """Reset some of the open connections.

        :param share: how many of them.
        :param rng: draws them.
        """
        for writer in list(self._open):
            if rng.random() < share:
                writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Swallow all bytes of the connections that are open now, and leave them open."""
        self._silenced |= self._open

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._port())
        except OSError:
            # Nobody listens behind it: a connection is closed at once, as it can't be refused.
            writer.transport.abort()
            return
        self._open.update((writer, far_writer))
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer), return_exceptions=True
        )
        self._open.difference_update((writer, far_writer))
        self._silenced.difference_update((writer, far_writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.silent or writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            writer.transport.abort()
