"""A deployment on loopback: store and searchers in a thread, entries as processes."""

import asyncio
import functools
import http.client
import itertools
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from standins.fleet import free_ports, wait_until
from standins.operators._configuration import HOST
from standins.operators._model import StoreModel
from standins.operators._searcher import Searcher
from standins.operators._store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
STOP_S = 20.0
T = TypeVar("T")

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
[bounds]
grace_s = 6
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


def _ports_of_an_entry() -> list[int]:
    """Give free ports in rising order; the one after the first is used by entries as well."""
    while True:
        ports = sorted(free_ports(4))
        if ports[1] > ports[0] + 1:
            return ports


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
        self._fields = {"name": name, "ratio": 0.2, "zone": "hall-a", **fields}
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
            return self._get(self._fields["ready"], "/v1/ready", {}, 5.0).status == 200
        except OSError:
            return False

    def ask(
        self, path: str, request_id: str, wait_s: float = 10.0, leave_s: float | None = None
    ) -> Answer:
        """Ask as a caller does, on a new connection.

        :param path: the path.
        :param request_id: the request's id.
        :param wait_s: how long the caller says that it waits.
        :param leave_s: when it leaves, if sooner.
        :returns: the answer; status 0 when there was none.
        """
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(wait_s * 1e3)),
        }
        try:
            return self._get(self._fields["callers"], path, headers, leave_s or wait_s)
        except (OSError, http.client.HTTPException):
            return Answer(0, {}, b"")

    def metrics(self) -> str:
        """Read its metrics.

        :returns: the text.
        """
        return self._get(self._fields["metrics"], "/metrics", {}, 10.0).body.decode()

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

    def _get(self, port: int, path: str, headers: dict, wait_s: float) -> Answer:
        connection = http.client.HTTPConnection(self.ip, port, timeout=wait_s)
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            body = response.read()
            return Answer(
                response.status,
                {name.lower(): value for name, value in response.getheaders()},
                body,
            )
        finally:
            connection.close()


class Deployment:
    """Store and searchers in a thread of this process, entries as processes.

    :param folder: for settings and logs.
    :param root: the source tree that entries are started from.
    """

    def __init__(self, folder: Path, root: Path = ROOT) -> None:
        self._folder = folder
        self._root = root
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.entries: list[EntryProcess] = []
        self.searchers: dict[str, Searcher] = {}
        self.model = StoreModel()
        self.stores: dict[str, Store] = {}
        # An address range of its own on loopback, as all VMs have the same ports.
        rng = random.SystemRandom()
        self._net = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        self._numbers = itertools.count(1)
        ports = _ports_of_an_entry()
        self._ports = {
            "peer": ports[0],
            "callers": ports[1],
            "ready": ports[2],
            "metrics": ports[3],
        }

    def run(self, call: Callable[[], T]) -> T:
        """Call something in the thread of store and searchers.

        :param call: called without arguments.
        :returns: what it returns.
        """

        async def calling() -> T:
            return call()

        return asyncio.run_coroutine_threadsafe(calling(), self._loop).result(10.0)

    def run_async(self, coroutine: Coroutine[object, object, T]) -> T:
        """Run a coroutine in the thread of store and searchers.

        :param coroutine: the coroutine.
        :returns: what it returns.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)

    def add_searcher(
        self, incarnation: str, service: str, zone: str = "hall-a", born: int | None = None
    ) -> Searcher:
        """Start a searcher and publish it; one that had this id has ended.

        :param incarnation: its id.
        :param service: its service.
        :param zone: its failure domain.
        :param born: Unix time of its start, in ms; None for one that doesn't tell it.
        :returns: the searcher.
        """
        before = self.searchers.get(incarnation)
        if before is not None:
            self.run(before.crash)
        searcher = Searcher(incarnation, service, zone, born)
        self.searchers[incarnation] = searcher
        self.run(searcher.listen)
        self.put(f"servers/{incarnation}", searcher.entry())
        return searcher

    def end_on(self, path: str, back_after_s: float, ended: dict[str, list[float]]) -> None:
        """Let a request end each searcher that begins it; it starts again under its id.

        :param path: a part of the request's path.
        :param back_after_s: when a searcher that has ended starts again.
        :param ended: gets the time of each end, on the steady clock, by the path of the request.
        """

        def ends(searcher: Searcher, ended_by: str) -> None:
            ended.setdefault(ended_by, []).append(time.monotonic())
            self._loop.call_later(back_after_s, self._start_again, searcher)

        for searcher in self.searchers.values():
            searcher.on_ended = functools.partial(ends, searcher)
            searcher.ends_on = path

    def end(self, searchers: list[Searcher], back_after_s: float) -> None:
        """End searchers at once; they start again under their ids.

        :param searchers: the searchers.
        :param back_after_s: when they start again.
        """

        def ending() -> None:
            for searcher in searchers:
                searcher.crash()
                self._loop.call_later(back_after_s, self._start_again, searcher)

        self.run(ending)

    def _start_again(self, searcher: Searcher) -> None:
        if searcher.gone or searcher.is_listening:
            return
        searcher.start_again(int(time.time() * 1e3))
        self.model.put(f"servers/{searcher.incarnation}", searcher.entry())
        for store in self.stores.values():
            store.changed()

    def put(self, key: str, value: object) -> None:
        """Write to the store.

        :param key: the key.
        :param value: the value.
        """
        self._change(lambda: self.model.put(key, value))

    def delete(self, key: str) -> None:
        """Delete from the store.

        :param key: the key.
        """
        self._change(lambda: self.model.delete(key))

    def start_entry(
        self, read_log: bool = True, store_up: bool = True, zone: str = "hall-a"
    ) -> EntryProcess:
        """Start an entry on a VM of its own, for which the store has a port of its own.

        :param read_log: whether anybody reads its output.
        :param store_up: whether the store serves this entry.
        :param zone: its failure domain.
        :returns: the entry.
        """
        number = next(self._numbers)
        name = f"vm-{number}"
        store = Store(self.model)
        store.down = not store_up
        self.stores[name] = store
        fields = {
            "ip": f"{self._net}.{number}",
            "seed": f"{self._net}.1",
            "store": self.run(store.listen),
            "zone": zone,
            **self._ports,
        }
        entry = EntryProcess(self._folder, name, fields, read_log, self._root)
        self.entries.append(entry)
        return entry

    def close(self) -> None:
        """End all entries, then store and searchers."""
        for entry in self.entries:
            entry.popen.kill()
            entry.stop()
        for server in (*self.searchers.values(), *self.stores.values()):
            self.run(server.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10.0)
        self._loop.close()

    def forget_history(self, *deleted: str) -> None:
        """Make the store forget all changes so far.

        :param deleted: keys that are deleted just before.
        """

        def forgetting() -> None:
            for key in deleted:
                self.model.delete(key)
            self.model.compact()

        self._change(forgetting)

    def turn_away(self, entry: EntryProcess) -> None:
        """Make the store refuse an entry, and end its watch.

        :param entry: the entry.
        """
        store = self.stores[entry.name]

        def refusing() -> None:
            store.down = True
            store.drop_waiting()

        self.run(refusing)

    def _change(self, change: Callable[[], None]) -> None:
        def changing() -> None:
            change()
            for store in self.stores.values():
                store.changed()

        self.run(changing)
