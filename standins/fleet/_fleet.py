"""Processes that end with their owner."""

import os
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

import orjson

from standins.fleet._process import Process
from standins.fleet._waiting import STOP_WAIT_S

_ROOT = Path(__file__).resolve().parent.parent.parent


class Fleet:
    """A context manager that owns processes.

    :param folder: Where histories and the processes' output go.
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
        output_path = self._folder / f"{name}.out"
        with (
            open(output_path, "wb") as output,
            open(output_path.with_suffix(".err"), "wb") as errors,
        ):
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=_ROOT,
                env={**os.environ, **(settings or {})},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )
        process = Process(name, popen, output_path, history_path)
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
        flags = ["--config", str(config_path), "--history", str(history_path), "--end-with-parent"]
        process = self.start(name, [module, *flags], history_path=history_path)
        process.wait_ready()
        return process


def _end(process: Process) -> None:
    try:
        process.popen.wait(STOP_WAIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
