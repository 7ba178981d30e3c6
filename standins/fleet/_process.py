"""One process of a fleet."""

import signal
import subprocess
from pathlib import Path

import orjson

from standins.fleet._waiting import READY_WAIT_S, STOP_WAIT_S, wait_until
from standins.history import read_history


class Process:
    """One process that was started.

    :param name: Its name in messages.
    :param popen: The process.
    :param output_path: The file of its standard output; that of its errors is beside it.
    :param history_path: Its history file, if it writes one.
    """

    def __init__(
        self, name: str, popen: subprocess.Popen, output_path: Path, history_path: Path | None
    ) -> None:
        self.name = name
        self.popen = popen
        self.ready: dict[str, object] = {}
        self._output_path = output_path
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
        ready = wait_until(lambda: self._first_line() or not self.is_running(), wait_s)
        line = self._first_line()
        if line is None and ready:
            raise ChildProcessError(f"{self.name}: ended before its ready line")
        if line is None:
            raise TimeoutError(f"{self.name}: no ready line in {wait_s} s")
        self.ready = orjson.loads(line)
        return self.ready

    def port(self, name: str | None = None) -> int:
        """Give a bound port.

        :param name: The searcher's name; None for the platform.
        :returns: The port.
        """
        return self.ready["port"] if name is None else self.ready["ports"][name]

    @property
    def control_port(self) -> int:
        """The control port of a process of searchers."""
        return self.ready["control_port"]

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

    def output(self) -> str:
        """Read what the process wrote to its standard output.

        :returns: The text.
        """
        return self._output_path.read_text(errors="replace")

    def errors(self) -> str:
        """Read what the process wrote to its standard error.

        :returns: The text.
        """
        return self._output_path.with_suffix(".err").read_text(errors="replace")

    def history(self) -> list[dict[str, object]]:
        """Read the history written so far.

        :returns: The events.
        """
        return read_history(self._history_path) if self._history_path else []

    def _first_line(self) -> str | None:
        line, end, _ = self.output().partition("\n")
        return line if end else None
