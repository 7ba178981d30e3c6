"""Starting and stopping processes for tests, the demo and the bench.

Every process that a :class:`Fleet` starts is ended when the fleet is left.
"""

import os
import selectors
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Mapping, Sequence
from pathlib import Path

import orjson

from standins.history import read_history

READY_WAIT_S = 20.0
"""How long a process may take until its ready line, on a busy machine."""

STOP_WAIT_S = 10.0
"""How long a process may take to end after it was asked."""

_ROOT = Path(__file__).resolve().parent.parent


class Process:
    """One process that was started.

    :param name: Its name in messages.
    :param popen: The process.
    :param history_path: Its history file, if it writes one.
    """

    def __init__(self, name: str, popen: subprocess.Popen, history_path: Path | None) -> None:
        self.name = name
        self.popen = popen
        self.ready: dict[str, object] = {}
        self._history_path = history_path

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.popen.pid

    def wait_ready(self, wait_s: float = READY_WAIT_S) -> dict[str, object]:
        """Wait for the first line of the standard output.

        :param wait_s: How long, in seconds.
        :returns: The line, read as JSON.
        :raises TimeoutError: When no line came in time.
        :raises ChildProcessError: When the process ended instead.
        """
        line = _read_line(self, wait_s)
        self.ready = orjson.loads(line)
        return self.ready

    def port(self, name: str | None = None) -> int:
        """Give a bound port.

        :param name: The searcher's name; None for a process with one port.
        :returns: The port.
        """
        if name is not None:
            return self.ready["ports"][name]
        if "port" in self.ready:
            return self.ready["port"]
        (port,) = self.ready["ports"].values()
        return port

    def kill(self) -> None:
        """End the process at once (SIGKILL) and wait until it is gone."""
        self.popen.kill()
        self.popen.wait(STOP_WAIT_S)

    def terminate(self) -> None:
        """Ask the process to end (SIGTERM); does not wait."""
        self.popen.terminate()

    def wait(self, wait_s: float = STOP_WAIT_S) -> int:
        """Wait for the end of the process.

        :param wait_s: How long, in seconds.
        :returns: Its exit code.
        :raises subprocess.TimeoutExpired: When it did not end in time.
        """
        return self.popen.wait(wait_s)

    def freeze(self) -> None:
        """Stop the process where it is (SIGSTOP)."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self.popen.send_signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Say whether the process has not ended.

        :returns: True while it runs or is frozen.
        """
        return self.popen.poll() is None

    def history(self) -> list[dict[str, object]]:
        """Read the history written so far.

        :returns: The events.
        """
        return read_history(self._history_path) if self._history_path else []


class Fleet:
    """A context manager that owns processes.

    :param folder: Where histories and the output of errors go.
    """

    def __init__(self, folder: str | Path) -> None:
        self._folder = Path(folder)
        self._processes: list[Process] = []

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        settings: Mapping[str, str] | None = None,
        history_path: Path | None = None,
    ) -> Process:
        """Start a Python module as a process.

        :param name: A name for messages and files, unique in the fleet.
        :param arguments: The module and its arguments, as after ``python -m``.
        :param settings: Environment variables, added to this process's own.
        :param history_path: The history file that it will write, if any.
        :returns: The process; its ready line is not yet read.
        """
        with open(self._folder / f"{name}.err", "ab") as errors:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=_ROOT,
                env={**os.environ, **(settings or {})},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        process = Process(name, popen, history_path)
        self._processes.append(process)
        return process

    def searchers(self, name: str, config: Mapping[str, object]) -> Process:
        """Start a process of searchers and wait until it is ready.

        :param name: A name for messages and files, unique in the fleet.
        :param config: The configuration, see docs/standins.md.
        :returns: The process.
        """
        return self._standin("standins.searcher", name, config)

    def platform(
        self, name: str = "platform", config: Mapping[str, object] | None = None
    ) -> Process:
        """Start a platform and wait until it is ready.

        :param name: A name for messages and files, unique in the fleet.
        :param config: The configuration, see docs/standins.md.
        :returns: The process.
        """
        return self._standin("standins.platform", name, config or {})

    def node(
        self,
        name: str,
        role: str,
        settings: Mapping[str, str],
        flags: Sequence[str] = (),
    ) -> Process:
        """Start an entry or a relay; does not wait for it.

        :param name: A name for messages and files, unique in the fleet.
        :param role: ``entry`` or ``relay``.
        :param settings: Environment variables.
        :param flags: Flags for the command line.
        :returns: The process.
        """
        return self.start(name, ["rhubarbhinge.cli", role, *flags], settings)

    def errors(self, name: str) -> str:
        """Read what a process wrote to its standard error.

        :param name: Its name.
        :returns: The text.
        """
        return (self._folder / f"{name}.err").read_text(errors="replace")

    def stop(self) -> None:
        """End every process, frozen ones too: first asked, then killed."""
        for process in self._processes:
            if process.is_running():
                process.thaw()
                process.terminate()
        for process in self._processes:
            _end(process)

    def _standin(self, module: str, name: str, config: Mapping[str, object]) -> Process:
        history_path = self._folder / f"{name}.history"
        config_path = self._folder / f"{name}.json"
        config_path.write_bytes(orjson.dumps(config))
        flags = ["--config", str(config_path), "--history", str(history_path)]
        process = self.start(name, [module, *flags], history_path=history_path)
        process.wait_ready()
        return process


def free_ports(number: int) -> list[int]:
    """Find free TCP ports on 127.0.0.1 that are also free for UDP.

    :param number: How many.
    :returns: Different ports; another process may still take one before it is used.
    """
    held: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < number:
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            held.append(tcp)
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            if _holds_udp(port, held):
                ports.append(port)
    finally:
        for taken in held:
            taken.close()
    return ports


def call(
    port: int, path: str, document: object = None, wait_s: float = STOP_WAIT_S
) -> dict[str, object]:
    """Call a control endpoint of a stand-in.

    :param port: The stand-in's port.
    :param path: The path with its query.
    :param document: What to send as JSON; None for a GET.
    :param wait_s: How long to wait for the answer, in seconds.
    :returns: The answer, read from JSON.
    :raises urllib.error.HTTPError: For a status other than 2xx.
    """
    body = None if document is None else orjson.dumps(document)
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body)
    with urllib.request.urlopen(request, timeout=wait_s) as answer:
        return orjson.loads(answer.read() or b"null")


def _holds_udp(port: int, held: list[socket.socket]) -> bool:
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    held.append(udp)
    try:
        udp.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


def _read_line(process: Process, wait_s: float) -> bytes:
    out = process.popen.stdout
    until_s = time.monotonic() + wait_s
    line = b""
    with selectors.DefaultSelector() as selector:
        selector.register(out, selectors.EVENT_READ)
        while not line.endswith(b"\n"):
            if not selector.select(max(0.0, until_s - time.monotonic())):
                raise TimeoutError(f"{process.name}: no ready line in {wait_s} s")
            piece = os.read(out.fileno(), 65_536)
            if not piece:
                raise ChildProcessError(f"{process.name}: ended before its ready line")
            line += piece
    return line


def _end(process: Process) -> None:
    try:
        process.popen.wait(STOP_WAIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
    process.popen.stdout.close()
