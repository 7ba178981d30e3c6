"""Faults of the store, and changes of what it publishes."""

import random
import threading
import time
from collections import deque

from standins.operators import Deployment, EntryProcess, StoreCopy, configuration
from tools.soak._callers import ask_once
from tools.soak._plan import Fault
from tools.soak._seen import Limit, Seen

SHARDS = tuple(f"shard-{number}" for number in range(8))
ZONES = ("hall-a", "hall-b", "hall-c")
TARGET_MS = 250
COPIES = 10
"""Copies that are kept of the store, one of each half second."""
REWRITE_S, LEASE_S = 1.5, 3.6
"""How long after the store's return all is written again at the latest, and entries of searchers
that have left are removed."""
PROBES_S = (3.05, 4.5)
"""When entries are asked for a route that was added, after its acknowledgement."""
LIMITS_BYTES = (16_384, 65_536, 262_144, 1_048_576, 2_097_152)
"""Greatest bodies that a change of the configuration chooses from."""
LONG_HOST = ".".join("x" * 60 for _ in range(5))
"""Host of a further route, longer than names in DNS."""
LONG_NAME_SHARE = 0.3
"""Part of the added routes that have a long name."""
LOST_ROUTES, READ_S = 3, 0.7
"""Routes that are added before such a return, and the time in which entries read them; written
again as one configuration, they leave the store's revision below that of before."""


class StoreFaults:
    """Faults of the store, and changes of what it publishes.

    :param deployment: the deployment.
    :param seen: what was seen.
    :param guard: held while something is written.
    :ivar routes: services of the routes to single services, by name.
    :ivar copies: the latest copies of the store.
    """

    def __init__(self, deployment: Deployment, seen: Seen, guard: threading.Lock):
        self._deployment = deployment
        self._seen = seen
        self._guard = guard
        self._version = 3
        self.routes = {"any": SHARDS[0]}
        self._max_body_bytes = LIMITS_BYTES[0]
        self.copies: deque[StoreCopy] = deque(maxlen=COPIES)

    def store_refuses(self, fault: Fault, rng: random.Random) -> None:
        """Have the store refuse some entries."""
        began_s = time.monotonic()
        names = [name for name in self._deployment.stores if rng.random() < 0.7]
        for entry in self._deployment.entries:
            if entry.name in names:
                self._deployment.turn_away(entry)
        time.sleep(fault.for_s)
        for name in names:
            self._deployment.stores[name].down = False
        self._seen.store_trouble.append((began_s, time.monotonic()))

    def store_forgets(self, fault: Fault, rng: random.Random) -> None:
        """Have the store forget its history."""
        began_s = time.monotonic()
        self._deployment.forget_history()
        self._seen.store_trouble.append((began_s, time.monotonic()))

    def store_restored(self, fault: Fault, rng: random.Random) -> None:
        """Have the store answer nobody, come back from a copy, and be written again.

        Meanwhile it refuses calls and cuts watches, or falls silent. At times as much is written
        again as was lost, so that it stands at the revision of before.
        """
        copy = rng.choice(list(self.copies))
        for _ in range(LOST_ROUTES):
            self._add_route(rng)
        time.sleep(READ_S)
        rewrite_s = rng.uniform(0.0, REWRITE_S)
        silently, same_revision = rng.random() < 0.5, rng.random() < 0.5
        began_s = time.monotonic()
        before = self._deployment.copy_store().revision
        for entry in self._deployment.entries:
            if silently:
                self._deployment.cut_off_store(entry)
            else:
                self._deployment.turn_away(entry)
        self._deployment.lose_since(copy, cut_watches=not silently)
        time.sleep(fault.for_s)
        for store in self._deployment.stores.values():
            store.down = store.unreachable = False
        returned_s = time.monotonic()
        time.sleep(rewrite_s)
        with self._guard:
            self.publish()
            rewritten_s = time.monotonic()
            for path in list(self._seen.acknowledged_s):
                self._seen.acknowledged_s[path] = rewritten_s
            for name, searcher in self._deployment.searchers.items():
                if searcher.is_listening and not searcher.gone:
                    self._deployment.write_again(f"servers/{name}", searcher.entry())
            if same_revision:
                self._deployment.write_up_to(before)
        time.sleep(max(0.0, returned_s + LEASE_S - time.monotonic()))
        with self._guard:
            for name in self._seen.left_s:
                self._deployment.delete(f"servers/{name}")
        self._seen.store_trouble.append((began_s, returned_s))

    def route_added(self, fault: Fault, rng: random.Random) -> None:
        """Add a route, and ask each entry for it once it has to be in force."""
        path = self._add_route(rng)
        acknowledged_s = self._seen.acknowledged_s[path] = time.monotonic()
        for place, probe_s in enumerate(PROBES_S):
            time.sleep(max(0.0, acknowledged_s + probe_s - time.monotonic()))
            for entry in self._deployment.entries:
                request_id = f"probe-{path.split('/')[1]}-{place}-{entry.name}"
                self._seen.exchanged.append(ask_once(entry, path, request_id))

    def _add_route(self, rng: random.Random) -> str:
        """Add a route; gives a path that it takes."""
        with self._guard:
            self._version += rng.choice((1, 2, 5))
            long = rng.random() < LONG_NAME_SHARE
            name = f"added-{self._version}" + "-long" * (60 if long else 0)
            self.routes[name] = rng.choice(SHARDS)
            self.publish()
        return f"/{name}/x"

    def limits_changed(self, fault: Fault, rng: random.Random) -> None:
        """Change the greatest size of a body."""
        with self._guard:
            self._version += 1
            self._max_body_bytes = rng.choice(LIMITS_BYTES)
            self.publish()

    def store_connections_silent(self, fault: Fault, rng: random.Random) -> None:
        """Have the open connections of some entries to the store fall silent."""
        began_s = time.monotonic()
        for entry in self._some_entries(rng):
            self._deployment.silence_store_connections(entry)
            self._seen.store_lost[entry.name].append((began_s, time.monotonic()))

    def store_out_of_reach(self, fault: Fault, rng: random.Random) -> None:
        """Have the store be silent for some entries, on new connections as well."""
        entries = self._some_entries(rng)
        began_s = time.monotonic()
        for entry in entries:
            self._deployment.cut_off_store(entry)
        time.sleep(fault.for_s)
        for entry in entries:
            self._deployment.stores[entry.name].unreachable = False
            self._seen.store_lost[entry.name].append((began_s, time.monotonic()))

    def _some_entries(self, rng: random.Random) -> list[EntryProcess]:
        """Draw entries: all, those that read the store while nothing else is wrong, or any."""
        entries = self._deployment.entries
        kind = rng.random()
        if kind < 0.3:
            return list(entries)
        if kind < 0.7:
            return entries[: len(ZONES)]
        return [entry for entry in entries if rng.random() < 0.5]

    def publish(self) -> None:
        """Write the configuration, unless the store holds it."""
        once = {"once": SHARDS[1]}
        wanted = configuration(self._version, SHARDS, once, self.routes, TARGET_MS)
        wanted["limits"] = {"max_body_bytes": self._max_body_bytes}
        wanted["routes"].append({**wanted["routes"][-1], "name": "long-host", "host": LONG_HOST})
        begun_s = time.monotonic()
        self._deployment.write_again("op/config", wanted)
        self._seen.limits.append(Limit(begun_s, time.monotonic(), self._max_body_bytes))
