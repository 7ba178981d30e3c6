"""Callers of a soak: threads that keep their connections and use them until they break."""

import http.client
import random
import threading
import time

from standins.operators import HOST, Deployment, EntryProcess
from tools.soak._plan import Asked
from tools.soak._seen import Exchanged, Seen

WAIT_S = 3.0
"""How long callers say that they wait."""
SLOW_READ_BYTES, SLOW_READ_S = 16, 0.01
"""A caller that reads slowly takes so many bytes at a time, with such a pause after each."""
SLACK_S = 0.5
"""They go on reading for so much longer."""
TRIES = 6
"""Entries that a caller tries to connect to before it gives a request up."""


class Caller:
    """One caller, with one kept connection.

    :param deployment: where the entries are.
    :param seen: tells the limit of bodies.
    :param seed: draws the entries that it goes to.
    :param asked: its requests.
    :ivar exchanged: its requests as it saw them.
    """

    def __init__(self, deployment: Deployment, seen: Seen, seed: str, asked: tuple[Asked, ...]):
        self._deployment = deployment
        self._seen = seen
        self._rng = random.Random(seed)
        self._asked = asked
        self._connection: http.client.HTTPConnection | None = None
        self._entry: EntryProcess | None = None
        self.exchanged: list[Exchanged] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self, started_s: float) -> None:
        """Start.

        :param started_s: when the traffic starts, on the steady clock.
        """
        self._started_s = started_s
        self._thread.start()

    def join(self) -> None:
        """Wait for its end."""
        self._thread.join()
        self._drop()

    def _run(self) -> None:
        for asked in self._asked:
            time.sleep(max(0.0, self._started_s + asked.at_s - time.monotonic()))
            body_bytes = round(asked.body_share * self._seen.limits[-1].body_bytes)
            status = self._ask(asked.id, asked.path, asked.leave_s, asked.slowly, body_bytes)
            if asked.at_once and status not in (0, 200):
                again = f"{asked.id}-again"
                self._ask(again, asked.path, None)

    def _ask(
        self,
        request_id: str,
        path: str,
        leave_s: float | None,
        slowly: bool = False,
        body_bytes: int = 0,
    ) -> int:
        if self._connection is None and not self._connect():
            return 0
        exchanged = _exchange(
            self._connection, self._entry, path, request_id, leave_s, slowly, body_bytes
        )
        self.exchanged.append(exchanged)
        if not exchanged.status or exchanged.headers.get("connection", "").lower() == "close":
            self._drop()
        return exchanged.status

    def _connect(self) -> bool:
        for _ in range(TRIES):
            entry = self._rng.choice(self._deployment.entries)
            connection = http.client.HTTPConnection(entry.ip, entry.callers, timeout=1.0)
            try:
                connection.connect()
            except OSError:
                connection.close()
                continue
            self._connection, self._entry = connection, entry
            return True
        return False

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def ask_once(entry: EntryProcess, path: str, request_id: str) -> Exchanged:
    """Ask an entry on a new connection.

    :param entry: the entry.
    :param path: the path.
    :param request_id: the request's id.
    :returns: what came of it.
    """
    connection = http.client.HTTPConnection(entry.ip, entry.callers, timeout=1.0)
    try:
        connection.connect()
        return _exchange(connection, entry, path, request_id, None)
    except OSError:
        now_s = time.monotonic()
        return Exchanged(request_id, path, entry.name, now_s, now_s, 0, {}, b"", left=True)
    finally:
        connection.close()


def _exchange(
    connection: http.client.HTTPConnection,
    entry: EntryProcess,
    path: str,
    request_id: str,
    leave_s: float | None,
    slowly: bool = False,
    body_bytes: int = 0,
) -> Exchanged:
    sent_s = time.monotonic()
    headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(int(WAIT_S * 1e3))}
    status, answered, body = 0, {}, b""
    try:
        connection.sock.settimeout(leave_s or WAIT_S + SLACK_S)
        body = request_id.encode().ljust(body_bytes, b"x")[:body_bytes]
        connection.request("POST" if body else "GET", path, body or None, headers)
        response = connection.getresponse()
        body = _read_slowly(response) if slowly else response.read()
        status = response.status
        answered = {name.lower(): value for name, value in response.getheaders()}
    except (OSError, http.client.HTTPException):
        status = 0
    left = leave_s is not None and status == 0
    ended_s = time.monotonic()
    return Exchanged(
        request_id, path, entry.name, sent_s, ended_s, status, answered, body, left, body_bytes
    )


def _read_slowly(response: http.client.HTTPResponse) -> bytes:
    pieces = []
    while piece := response.read(SLOW_READ_BYTES):
        pieces.append(piece)
        time.sleep(SLOW_READ_S)
    return b"".join(pieces)
