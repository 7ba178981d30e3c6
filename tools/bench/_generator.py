"""The load generator as the bench sees it."""

import subprocess
import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import orjson

from standins.history import monotonic_ms
from tools.bench._arrivals import Arrival, Stream

LEAD_MS = 100.0
"""From handing over a job until its first arrival."""


class Generator:
    """A context manager that owns the load generator's process."""

    def __init__(self) -> None:
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "tools.bench.load"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def __enter__(self) -> "Generator":
        return self

    def __exit__(self, *error: object) -> None:
        self._popen.stdin.close()
        try:
            self._popen.wait(1.0)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._popen.pid

    def begin(
        self,
        entries: Sequence[int],
        streams: Sequence[Stream],
        planned: Sequence[Arrival],
        timeout_ms: float,
        path: Path,
    ) -> float:
        """Hand over a job.

        :param entries: HTTP ports of the entries, asked in turn.
        :param streams: kinds of requests.
        :param planned: all arrivals by time.
        :param timeout_ms: longest wait for an answer.
        :param path: where the samples go.
        :returns: the start of the measured time, in ms on the monotonic clock.
        """
        start_ms = monotonic_ms() + LEAD_MS - min(0.0, planned[0].at_ms)
        job = {
            "start_ms": start_ms,
            "entries": list(entries),
            "streams": [asdict(stream) for stream in streams],
            "arrivals": [[arrival.at_ms, arrival.stream] for arrival in planned],
            "timeout_ms": timeout_ms,
            "path": str(path),
        }
        self._popen.stdin.write(orjson.dumps(job, option=orjson.OPT_APPEND_NEWLINE))
        self._popen.stdin.flush()
        return start_ms

    def wait(self) -> None:
        """Wait until the job is done.

        :raises ChildProcessError: when the process ended instead.
        """
        if not self._popen.stdout.readline():
            raise ChildProcessError("the load generator ended before its job was done")
