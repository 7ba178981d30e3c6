"""A deployment under the faults of a plan."""

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from rhubarbhinge.utils.testing_replies import ENDLESS_REPLIES
from standins.fleet import wait_until
from standins.operators import (
    Deployment,
    EntryProcess,
    Proxy,
    Searcher,
)
from tools.soak._callers import ask_once
from tools.soak._plan import CALM_AFTER_S, Fault
from tools.soak._seen import Arrival, Seen
from tools.soak._store_faults import SHARDS, ZONES, StoreFaults

REPLICAS = 3
WORK_MS = 15.0
START_S = 3.0
"""Entries know each other so long after their start."""
SETTLE_S = 5.0
"""What faults leave behind is gone so long after the last of them has ended."""
RESTART_S = 0.3
BACK_S = 2.0
"""Searchers that a fatal request ended are back after so long."""
WATCH_S, STARVED_S = 0.5, 0.2
"""How often it is looked at, and what an entry waits for a processor meanwhile for it to count as
held up, as if it were frozen."""
GRACES_S = (2, 6)
"""Grace times that a change of the settings chooses from; callers wait for 3 s."""
REPEAT_AFTER_MS = (25.0, 50.0)
"""A refusal that is sent twice comes again after such a time."""
SLOW_MS, LINK_DELAY_S = 400.0, 0.1


class World:
    """A deployment under the faults of a plan.

    :param folder: for settings and logs.
    :param seed: the seed of the run.
    :param entries: how many entries, spread over the failure domains.
    :ivar deployment: the entries, searchers and the store.
    :ivar seen: what was seen.
    """

    def __init__(self, folder: Path, seed: int, entries: int):
        self.deployment = Deployment(folder)
        self.seen = Seen()
        self._rng = random.Random(f"targets {seed}")
        self._seed = seed
        self._proxies: dict[str, Proxy] = {}
        self._lasting: list[threading.Thread] = []
        self._guard = threading.Lock()
        self._store = StoreFaults(self.deployment, self.seen, self._guard)
        self._stopping: set[str] = set()
        self._over = threading.Event()
        self._before: dict[str, int] = {}
        self._entries = entries

    def start(self) -> None:
        """Start searchers and entries, and wait until the entries serve and know each other."""
        self._store.publish()
        for number, shard in enumerate(SHARDS):
            for place in range(REPLICAS):
                self._add_searcher(shard, number, place)
        for number in range(self._entries):
            entry = self.deployment.start_entry(zone=ZONES[number % len(ZONES)])
            self.seen.disturbed[entry.name] = []
            self.seen.store_lost[entry.name] = []
        for entry in self.deployment.entries:
            if not wait_until(entry.is_ready):
                raise RuntimeError(f"{entry.name} does not get ready: {entry.log()[-2_000:]}")
        time.sleep(START_S)
        threading.Thread(target=self._watch_processors, daemon=True).start()
        self._before = {entry.name: _descriptors(entry) for entry in self.deployment.entries}

    def play(self, faults: tuple[Fault, ...], started_s: float, seconds: float) -> None:
        """Carry out faults.

        :param faults: the faults, by time.
        :param started_s: when the traffic starts, on the steady clock.
        :param seconds: how long it lasts.
        """
        for fault in faults:
            time.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            self._begin(fault)
        for thread in self._lasting:
            thread.join()
        settled_s = time.monotonic() + SETTLE_S
        self.seen.calm_from_s = max(settled_s, started_s + seconds - CALM_AFTER_S + SETTLE_S)
        self.seen.paths = [f"/{name}/x" for name in self._store.routes]

    def close(self) -> None:
        """Take what is seen at the end, and end everything, also what a fault is about to start."""
        with self._guard:
            self._over.set()
        try:
            self._take_what_is_seen()
        finally:
            for proxy in self._proxies.values():
                self.deployment.run(proxy.close)
            self.deployment.close()

    def _take_what_is_seen(self) -> None:
        for entry in self.deployment.entries:
            if entry.name in self._stopping:
                # A fault that was cut short has it.
                continue
            if entry.popen.poll() is None:
                before = self._before.get(entry.name, 0)
                self.seen.descriptors[entry.name] = (before, _descriptors(entry))
            else:
                self.seen.ended_by_itself.append(entry.name)
        for searcher in self.deployment.searchers.values():
            self.seen.arrivals.extend(_arrivals(searcher))

    def _begin(self, fault: Fault) -> None:
        name = fault.kind.replace("-", "_")
        carry_out = getattr(self._store, name, None) or getattr(self, f"_{name}")
        rng = random.Random(f"{self._seed} {fault.at_s} {fault.draw}")
        thread = threading.Thread(target=carry_out, args=(fault, rng), daemon=True)
        self._lasting.append(thread)
        thread.start()

    # Entries.

    def _entry_killed(self, fault: Fault, rng: random.Random) -> None:
        self._kill([rng.choice(self.deployment.entries)], fault.for_s)

    def _domain_killed(self, fault: Fault, rng: random.Random) -> None:
        first = rng.randrange(len(ZONES))
        self._kill(self.deployment.entries[first :: len(ZONES)], fault.for_s)

    def _fleet_killed(self, fault: Fault, rng: random.Random) -> None:
        self._kill(list(self.deployment.entries), fault.for_s)

    def _kill(self, entries: list[EntryProcess], for_s: float) -> None:
        taken = [entry for entry in entries if self._take(entry)]
        began_s = time.monotonic()
        for entry in taken:
            entry.signal(signal.SIGKILL)
        time.sleep(for_s + RESTART_S)
        for entry in taken:
            self._start_again(entry, began_s)

    def _entry_stopped(self, fault: Fault, rng: random.Random) -> None:
        entry = rng.choice(self.deployment.entries)
        if not self._take(entry):
            return
        began_s = time.monotonic()
        entry.signal(signal.SIGTERM)
        code = entry.popen.wait()
        self.seen.stops.append((entry.name, time.monotonic() - began_s, code))
        self._start_again(entry, time.monotonic())

    def _entry_frozen(self, fault: Fault, rng: random.Random) -> None:
        entry = rng.choice(self.deployment.entries)
        if not self._take(entry):
            return
        began_s = time.monotonic()
        entry.signal(signal.SIGSTOP)
        time.sleep(fault.for_s)
        entry.signal(signal.SIGCONT)
        self._give_back(entry, began_s)

    def _settings_read_again(self, fault: Fault, rng: random.Random) -> None:
        entry = rng.choice(self.deployment.entries)
        if self._take(entry):
            ratio = rng.choice((0.1, 0.2, 0.3))
            entry.write_settings(ratio=ratio, grace=rng.choice(GRACES_S))
            entry.signal(signal.SIGHUP)
            self._stopping.discard(entry.name)

    def _take(self, entry: EntryProcess) -> bool:
        """Take an entry for a fault, unless another one has it; see whether it ended by itself."""
        with self._guard:
            if entry.name in self._stopping:
                return False
            if entry.popen.poll() is not None:
                self.seen.ended_by_itself.append(entry.name)
                return False
            self._stopping.add(entry.name)
            return True

    def _start_again(self, entry: EntryProcess, began_s: float) -> None:
        with self._guard:
            if self._over.is_set():
                return
            entry.start_again()
        wait_until(entry.is_ready)
        self._give_back(entry, began_s)

    def _give_back(self, entry: EntryProcess, began_s: float) -> None:
        self.seen.disturbed[entry.name].append((began_s, time.monotonic()))
        self._stopping.discard(entry.name)

    def _watch_processors(self) -> None:
        """Note when entries wait for a processor, which other work on the machine may take."""
        waited: dict[int, float] = {}
        calls: dict[str, int] = {}
        began_s = time.monotonic()
        while not self._over.wait(WATCH_S):
            now_s = time.monotonic()
            if now_s - began_s > WATCH_S + STARVED_S:
                # The store answers from this process.
                self.seen.held_up.append((began_s, now_s))
            self._store.copies.append(self.deployment.copy_store())
            for name, store in self.deployment.stores.items():
                per_s = (store.calls - calls.get(name, store.calls)) / (now_s - began_s)
                calls[name] = store.calls
                most = self.seen.store_calls_per_s
                most[name] = max(per_s, most.get(name, 0.0))
            for entry in self.deployment.entries:
                pid, so_far_s = entry.popen.pid, _waited_s(entry.popen.pid)
                if so_far_s - waited.get(pid, so_far_s) > STARVED_S:
                    self.seen.disturbed[entry.name].append((began_s, now_s))
                    self.seen.starved += 1
                waited[pid] = so_far_s
            began_s = now_s

    # Searchers.

    def _add_searcher(self, shard: str, number: int, place: int) -> None:
        zone = ZONES[(number + place) % len(ZONES)]
        name = f"i-{shard}-{place}"
        born = int(time.time() * 1e3)
        searcher = self.deployment.add_searcher(name, shard, zone, born)
        searcher.delay_ms = WORK_MS
        if place == 0:
            proxy = Proxy(lambda: searcher.port)
            searcher.published_port = self.deployment.run_async(proxy.listen())
            self._proxies[name] = proxy
            self.deployment.put(f"servers/{name}", searcher.entry())

    def _some(self, rng: random.Random, share: float) -> list[Searcher]:
        """Draw searchers, at most one of each shard, none of them behind a proxy."""
        found = []
        for shard in SHARDS:
            if rng.random() < share:
                found.append(self.deployment.searchers[f"i-{shard}-{rng.choice((1, 2))}"])
        return [one for one in found if one.incarnation not in self.seen.left_s]

    def _searchers_crash(self, fault: Fault, rng: random.Random) -> None:
        with self._guard:
            alive = [one for one in self._some(rng, 0.4) if one.is_listening]
            self.deployment.end(alive, fault.for_s)
        time.sleep(fault.for_s)

    def _searchers_slow(self, fault: Fault, rng: random.Random) -> None:
        def set_work(ms: float) -> Callable[[Searcher], None]:
            return lambda searcher: setattr(searcher, "delay_ms", ms)

        self._for_a_while(fault, self._some(rng, 0.5), set_work(SLOW_MS), set_work(WORK_MS))

    def _searchers_refuse(self, fault: Fault, rng: random.Random) -> None:
        def set_refuses(refuses: bool) -> Callable[[Searcher], None]:
            return lambda searcher: setattr(searcher, "refuses", refuses)

        self._for_a_while(fault, self._some(rng, 0.5), set_refuses(True), set_refuses(False))

    def _refusals_repeated(self, fault: Fault, rng: random.Random) -> None:
        """All searchers of a route to one service refuse most requests, each twice."""
        searchers = [
            one
            for one in self.deployment.searchers.values()
            if one.service in SHARDS[:2] and one.incarnation not in self.seen.left_s
        ]

        def harm(searcher: Searcher) -> None:
            searcher.takes_every = 3
            searcher.delay_ms = REPEAT_AFTER_MS[1]
            searcher.repeats_after_ms = rng.uniform(*REPEAT_AFTER_MS)

        def heal(searcher: Searcher) -> None:
            searcher.takes_every = 1
            searcher.delay_ms = WORK_MS
            searcher.repeats_after_ms = None

        self._for_a_while(fault, searchers, harm, heal)

    def _connections_reset(self, fault: Fault, rng: random.Random) -> None:
        """Searchers reset their connections, and new ones as soon as they are open."""

        def harm(searcher: Searcher) -> None:
            searcher.resets_new = True
            self.deployment.run(searcher.reset_connections)

        def heal(searcher: Searcher) -> None:
            searcher.resets_new = False

        self._for_a_while(fault, self._some(rng, 0.5), harm, heal)

    def _replies_endless(self, fault: Fault, rng: random.Random) -> None:
        kind = rng.choice(list(ENDLESS_REPLIES))

        def set_endless(kind: str) -> Callable[[Searcher], None]:
            return lambda searcher: setattr(searcher, "endless", kind)

        self._for_a_while(fault, self._some(rng, 0.3), set_endless(kind), set_endless(""))

    def _for_a_while(self, fault, searchers, harm, heal) -> None:
        for searcher in searchers:
            harm(searcher)
        time.sleep(fault.for_s)
        for searcher in searchers:
            heal(searcher)

    def _answers_lost(self, fault: Fault, rng: random.Random) -> None:
        for searcher in self._some(rng, 0.5):
            searcher.break_off_next()

    def _searcher_leaves(self, fault: Fault, rng: random.Random) -> None:
        with self._guard:
            shard = rng.choice(SHARDS)
            name = f"i-{shard}-2"
            if name in self.seen.left_s:
                return
            self.deployment.searchers[name].gone = True
            self.deployment.delete(f"servers/{name}")
            self.seen.left_s[name] = time.monotonic()
            zone = rng.choice(ZONES)
            born = int(time.time() * 1e3)
            added = self.deployment.add_searcher(f"i-{shard}-new", shard, zone, born)
            added.delay_ms = WORK_MS

    def _links_reset(self, fault: Fault, rng: random.Random) -> None:
        for proxy in self._proxies.values():
            self.deployment.run(lambda one=proxy: one.reset(0.5, rng))

    def _searcher_connections_silent(self, fault: Fault, rng: random.Random) -> None:
        for proxy in self._proxies.values():
            if rng.random() < 0.7:
                self.deployment.run(proxy.silence_open_connections)

    def _links_slow(self, fault: Fault, rng: random.Random) -> None:
        self._harm_links(fault, rng, "delay_s", LINK_DELAY_S, 0.0)

    def _links_silent(self, fault: Fault, rng: random.Random) -> None:
        self._harm_links(fault, rng, "silent", True, False)
        for proxy in self._proxies.values():
            # Bytes are missing on what was silent, so that it can't go on.
            self.deployment.run(lambda one=proxy: one.reset(1.0, rng))

    def _harm_links(self, fault: Fault, rng: random.Random, field: str, harm, heal) -> None:
        chosen = [proxy for proxy in self._proxies.values() if rng.random() < 0.5]
        for proxy in chosen:
            setattr(proxy, field, harm)
        time.sleep(fault.for_s)
        for proxy in chosen:
            setattr(proxy, field, heal)

    def _fatal_request(self, fault: Fault, rng: random.Random) -> None:
        """From now on a caller sends a request that ends the searchers that begin it."""
        path = f"/search/fatal-{fault.at_s}"
        with self._guard:
            self.deployment.end_on("fatal", BACK_S, self.seen.fatal_ends_s)
        for number in range(rng.choice((3, 6, 10))):
            entry = rng.choice(self.deployment.entries)
            request_id = f"fatal-{self._seed}-{fault.at_s}-{number}"
            self.seen.exchanged.append(ask_once(entry, path, request_id))
            time.sleep(rng.uniform(0.05, 1.0))


def _arrivals(searcher: Searcher) -> list[Arrival]:
    """Tell which arrivals at a searcher were begun.

    One that it had refused may come once more and is begun then, so that the last ones count.
    """
    begun = Counter(searcher.begun)
    arrivals = []
    came = list(zip(searcher.arrivals, searcher.arrived_s, strict=True))
    for request_id, at_s in reversed(came):
        begins = begun[request_id] > 0
        begun[request_id] -= begins
        name, service = searcher.incarnation, searcher.service
        arrivals.append(Arrival(request_id, service, name, at_s, begins))
    return arrivals[::-1]


def _waited_s(pid: int) -> float:
    """Read for how long a process has been waiting for a processor while it could run."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return 0.0


def _descriptors(entry: EntryProcess) -> int:
    return len(list(Path(f"/proc/{entry.popen.pid}/fd").iterdir()))
