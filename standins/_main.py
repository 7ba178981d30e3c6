"""The command line and the life of a stand-in's process."""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

import orjson

from standins.history import History

_FLUSH_S = 0.05

Start = Callable[[Mapping[str, object], History], Awaitable[Mapping[str, object]]]
"""Starts the stand-in of a configuration and gives its ready line."""


def main(program: str, start: Start) -> None:
    """Start a stand-in, print its ready line, and serve until SIGTERM or SIGINT.

    :param program: The module's name.
    :param start: Starts it.
    """
    settings = _settings(program)
    asyncio.run(_serve(start, settings))


def _settings(program: str) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("--config", default="{}", help="JSON, a file of it, or - for stdin")
    parser.add_argument("--history", help="file for the event history")
    parser.add_argument(
        "--end-with-parent", action="store_true", help="end when the starting process is gone"
    )
    return parser.parse_args()


async def _serve(start: Start, settings: argparse.Namespace) -> None:
    parent = os.getppid()
    stopped = _stop_signal()
    history = History(settings.history)
    ready = await start(read_config(settings.config), history)
    print(orjson.dumps({"ready": True, **ready}).decode(), flush=True)
    while not stopped.is_set():
        await asyncio.sleep(_FLUSH_S)
        history.flush()
        if settings.end_with_parent and os.getppid() != parent:
            break
    history.flush()


def _stop_signal() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def read_config(source: str) -> dict[str, object]:
    """Read a configuration.

    :param source: JSON, the name of a file of it, or ``-`` for the standard input.
    :returns: The configuration.
    """
    if source == "-":
        return orjson.loads(sys.stdin.buffer.read())
    if source.lstrip().startswith("{"):
        return orjson.loads(source)
    return orjson.loads(Path(source).read_bytes())
