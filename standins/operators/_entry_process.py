"""One entry as a process, and what its callers get."""

import http.client
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from standins.fleet import wait_until
from standins.operators._configuration import HOST

ROOT = Path(__file__).resolve().parent.parent.parent
STOP_S = 20.0

SETTINGS = """
node_name = "{name}"
role = "entry"
ip = "{ip}"
zone = "{zone}"
internal_port_range = [{peer}, {metrics}]
seeds = ["{seed}:1"]
[listen_addrs]
frontend = "{ip}:{callers}"
readiness = "{ip}:{ready}"
[limits]
memory_mb = {memory_mb}
[bounds]
grace_s = {grace}
config_apply_ms = 3000
retry_budget_ratio = {ratio}
retry_window_s = 10
retry_budget_slack = 56
[platform]
address = "127.0.0.1:{store}"
"""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got.

    :param status: the status code; 0 when the connection broke off.
    :param headers: the headers, names in lower case.
    :param body: the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class EntryProcess:
    """One entry, started as the platform starts it.

    :param folder: for its settings and log.
    :param name: name of its VM.
    :param fields: fields of its settings.
    :param read_log: whether its output goes to a file; if not, to a pipe that nobody reads.
    :param root: the source tree that it is started from.
    """

    def __init__(
        self, folder: Path, name: str, fields: dict, read_log: bool = True, root: Path = ROOT
    ) -> None:
        self.name = name
        self.ip: str = fields["ip"]
        self.callers: int = fields["callers"]
        defaults = {"ratio": 0.2, "zone": "hall-a", "grace": 6, "memory_mb": 0}
        self._fields = {"name": name, **defaults, **fields}
        self._settings_path = folder / f"{name}.toml"
        self._log_path = folder / f"{name}.log"
        self._root = root
        self._read_log = read_log
        self.write_settings()
        self.popen = self._start()

    def start_again(self) -> None:
        """Start it anew after its process has ended, as the platform does."""
        self.popen.wait()
        self.popen = self._start()

    def _start(self) -> subprocess.Popen:
        environment = {
            **os.environ,
            "RHUBARBHINGE_NODE_FILE": str(self._settings_path),
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        with self._log_path.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "deploy/entry.py"],
                cwd=self._root,
                env=environment,
                stdout=log if self._read_log else subprocess.PIPE,
                stderr=log,
            )

    def write_settings(self, text: str = "", **changes: object) -> None:
        """Write its settings file.

        :param text: the whole file; made from the fields when empty.
        :param changes: fields that change.
        """
        self._fields.update(changes)
        self._settings_path.write_text(text or SETTINGS.format(**self._fields))

    def log(self) -> str:
        """Read its log.

        :returns: all lines.
        """
        return self._log_path.read_text() if self._log_path.exists() else ""

    def wait_log(self, text: str, times: int = 1) -> bool:
        """Wait for a text in the log.

        :param text: the text.
        :param times: how often it stands there.
        :returns: whether it came.
        """
        return wait_until(lambda: self.log().count(text) >= times)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal.

        :param number: the signal.
        """
        self.popen.send_signal(number)

    def is_ready(self) -> bool:
        """Ask whether it is ready.

        :returns: whether it answered 200.
        """
        try:
            return self._call(self._fields["ready"], "/v1/ready", {}, 5.0).status == 200
        except OSError:
            return False

    def ask(
        self,
        path: str,
        request_id: str,
        wait_s: float = 10.0,
        leave_s: float | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Ask as a caller does, on a new connection.

        :param path: the path.
        :param request_id: the request's id.
        :param wait_s: how long the caller says that it waits.
        :param leave_s: when it leaves, if sooner.
        :param body: body of the request, which is a POST if there is any.
        :returns: the answer; status 0 when there was none.
        """
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(wait_s * 1e3)),
        }
        try:
            return self._call(self._fields["callers"], path, headers, leave_s or wait_s, body)
        except (OSError, http.client.HTTPException):
            return Answer(0, {}, b"")

    def metrics(self) -> str:
        """Read its metrics.

        :returns: the text.
        """
        return self._call(self._fields["metrics"], "/metrics", {}, 10.0).body.decode()

    def stop(self) -> int:
        """Stop it and wait; it is killed if it does not end.

        :returns: its exit code.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()
        finally:
            if self.popen.stdout is not None:
                self.popen.stdout.close()

    def _call(
        self, port: int, path: str, headers: dict, wait_s: float, body: bytes = b""
    ) -> Answer:
        connection = http.client.HTTPConnection(self.ip, port, timeout=wait_s)
        try:
            connection.request("POST" if body else "GET", path, body or None, headers)
            response = connection.getresponse()
            body = response.read()
            return Answer(
                response.status,
                {name.lower(): value for name, value in response.getheaders()},
                body,
            )
        finally:
            connection.close()
