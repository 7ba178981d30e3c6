"""A deployment on loopback: store and searchers in a thread, entries as processes."""

import asyncio
import functools
import itertools
import random
import threading
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TypeVar

from standins.fleet import free_ports
from standins.operators._entry_process import ROOT, EntryProcess
from standins.operators._model import StoreCopy, StoreModel
from standins.operators._searcher import Searcher
from standins.operators._store import Store

T = TypeVar("T")


def _ports_of_an_entry() -> list[int]:
    """Give free ports in rising order; the one after the first is used by entries as well."""
    while True:
        ports = sorted(free_ports(4))
        if ports[1] > ports[0] + 1:
            return ports


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

    def write_again(self, key: str, value: object) -> None:
        """Write to the store what it does not hold any more.

        :param key: the key.
        :param value: the value.
        """
        if not self.run(lambda: self.model.holds(key, value)):
            self.put(key, value)

    def delete(self, key: str) -> None:
        """Delete from the store.

        :param key: the key.
        """
        self._change(lambda: self.model.delete(key))

    def start_entry(
        self,
        read_log: bool = True,
        store_up: bool = True,
        zone: str = "hall-a",
        memory_mb: int = 0,
    ) -> EntryProcess:
        """Start an entry on a VM of its own, for which the store has a port of its own.

        :param read_log: whether anybody reads its output.
        :param store_up: whether the store serves this entry.
        :param zone: its failure domain.
        :param memory_mb: memory of its VM according to its settings; 0 if they don't state it.
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
            "memory_mb": memory_mb,
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

    def lose_since(self, copy: StoreCopy, cut_watches: bool = True) -> None:
        """Make the store come back from a copy.

        :param copy: the copy, from :meth:`copy_store`.
        :param cut_watches: whether the connections of those that wait are cut.
        """

        def losing() -> None:
            for store in self.stores.values():
                if cut_watches:
                    store.drop_waiting()
            self.model.restore(copy)

        self.run(losing)

    def copy_store(self) -> StoreCopy:
        """Copy what the store holds.

        :returns: the copy.
        """
        return self.run(self.model.copy)

    def write_up_to(self, revision: int) -> None:
        """Write what concerns no entry until the store has reached a revision.

        :param revision: the revision; nothing is written if it has been reached.
        """

        def writing() -> None:
            while self.model.revision < revision:
                self.model.put("other/filler", self.model.revision)

        self._change(writing)

    def turn_away(self, entry: EntryProcess) -> None:
        """Make the store refuse an entry, and end its watch.

        :param entry: the entry.
        """
        store = self.stores[entry.name]

        def refusing() -> None:
            store.down = True
            store.drop_waiting()

        self.run(refusing)

    def silence_store_connections(self, *entries: EntryProcess) -> None:
        """Make the open connections of entries to the store silent, while new ones work.

        :param entries: the entries; none for all.
        """
        for entry in entries or self.entries:
            self.run(self.stores[entry.name].silence_open_connections)

    def cut_off_store(self, entry: EntryProcess) -> None:
        """Make the store silent for an entry, on open and on new connections.

        :param entry: the entry.
        """
        self.silence_store_connections(entry)
        self.stores[entry.name].unreachable = True

    def _change(self, change: Callable[[], None]) -> None:
        def changing() -> None:
            change()
            for store in self.stores.values():
                store.changed()

        self.run(changing)
