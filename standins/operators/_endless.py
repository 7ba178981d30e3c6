"""Searchers, in a process of their own, whose replies have no end.

They send as fast as they are read, which would hold up searchers in the same process.
"""

import asyncio
import contextlib
import subprocess
import sys

from rhubarbhinge.utils.testing_replies import ENDLESS_REPLIES

LOOPBACK = "127.0.0.1"
PIECE_BYTES = 64 * 1024


class EndlessSearchers:
    """Some searchers that answer each request with a reply without end.

    :param kind: one of :data:`rhubarbhinge.utils.testing_replies.ENDLESS_REPLIES`.
    :param count: how many searchers.
    :ivar ports: their ports.
    """

    def __init__(self, kind: str, count: int) -> None:
        command = [sys.executable, "-m", __name__, kind, str(count)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.ports = [int(port) for port in self._process.stdout.readline().split()]

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


async def _serve(kind: str, count: int) -> None:
    start, repeated = ENDLESS_REPLIES[kind]
    piece = repeated * (PIECE_BYTES // len(repeated))

    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while True:
                writer.write(piece)
                await writer.drain()
        writer.close()

    servers = [await asyncio.start_server(reply, LOOPBACK, 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1], int(sys.argv[2])))
