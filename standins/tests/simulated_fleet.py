"""A fleet of simulated entries, and which of them have to know a change of the store by now."""

import random

from rhubarbhinge.published import Freshness
from rhubarbhinge.utils.fake_timers import FakeTimers
from standins.operators import configuration
from standins.tests.simulated_entries import STORE, SimulatedEntry, serve_store
from standins.tests.simulated_network import Network
from standins.tests.simulated_store import SimulatedStore

APPLY_MS, STABLE_MS = 3_000.0, 4_000.0
"""Bounds of the operators: time for a change after its acknowledgement, and time without a
disturbance after which an entry is in touch."""
STEP_MS = 100.0
SEARCHERS = 4


class SimulatedFleet:
    """A fleet, a store and its operator.

    :param seed: seed of everything that is drawn.
    :param domains: number of entries of each failure domain.
    :ivar late: what was not in force in time: time, entry, its version and the one that was due.
    """

    def __init__(self, seed: int, domains: tuple[int, ...]):
        self.rng = random.Random(seed)
        self.timers = FakeTimers()
        self.network = Network(self.timers, self.rng)
        self.store = SimulatedStore(self.timers, self.rng)
        serve_store(self.network, self.store)
        self._acknowledged: list[tuple[float, int]] = []
        self._spans: dict[str, list[list[float]]] = {}
        self.late: list[tuple[float, str, int, int]] = []
        for number in range(SEARCHERS):
            self.store.put(f"servers/i-{number}", self._searcher(number))
        self.change()
        names = [
            (f"{domain}-{place}", f"10.{1 + number}.0.{1 + place}", domain)
            for number, count in enumerate(domains)
            for domain in (f"hall-{'abcd'[number]}",)
            for place in range(count)
        ]
        seeds = tuple(ip for _, ip, _ in names)
        self.entries = [
            SimulatedEntry(self.network, *one, seeds, Freshness(APPLY_MS)) for one in names
        ]
        self.by_name = {entry.name: entry for entry in self.entries}
        self.disturb(*self.by_name)
        self.run(STABLE_MS + 2_000.0)

    def _searcher(self, number: int) -> dict:
        return {
            "service": "shard-0",
            "address": f"10.9.0.{1 + number}:8000",
            "zone": "hall-a",
            "version": "1",
            "capacity": 2,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self.rng.randrange(1_000),
        }

    @property
    def readers(self) -> list[SimulatedEntry]:
        """The entries that read the store."""
        return [entry for entry in self.entries if entry.is_reader]

    @property
    def version(self) -> int:
        """The latest version that was acknowledged."""
        return self._acknowledged[-1][1] if self._acknowledged else 0

    def change(self) -> None:
        """Have the operator write another version of the configuration."""
        version = self.version + 1
        self.store.put("op/config", configuration(version, ("shard-0",), {}, {}, 2_000))
        self._acknowledged.append((self.timers.now_ms(), version))

    def write_searcher(self) -> None:
        """Have a searcher write its entry."""
        number = self.rng.randrange(SEARCHERS)
        self.store.put(f"servers/i-{number}", self._searcher(number))

    def disturb(self, *names: str, for_ms: float = 0.0) -> None:
        """Record a disturbance of entries; of the store if none are given."""
        now_ms = self.timers.now_ms()
        for name in names or (STORE.ip,):
            self._spans.setdefault(name, []).append([now_ms, now_ms + for_ms])

    def cut(self, one: str, other: str, for_ms: float) -> None:
        """Cut two hosts off from each other for a while."""
        pair = frozenset((one, other))
        self.network.cuts.add(pair)
        self.timers.after(for_ms, lambda: self.network.cuts.discard(pair))

    def cut_from_store(self, entry: SimulatedEntry, for_ms: float) -> None:
        """Cut an entry off from the store for a while."""
        self.disturb(entry.name, for_ms=for_ms)
        self.cut(entry.ip, STORE.ip, for_ms)

    def lose_power(self, entry: SimulatedEntry, for_ms: float) -> None:
        """Cut an entry off from all other hosts for a while."""
        self.disturb(entry.name, for_ms=for_ms)
        for host in (STORE.ip, *(one.ip for one in self.entries if one is not entry)):
            self.cut(entry.ip, host, for_ms)

    def cut_from_entries(self, entry: SimulatedEntry, for_ms: float) -> None:
        """Cut an entry off from all others, but not from the store, for a while."""
        self.disturb(entry.name, for_ms=for_ms)
        for one in self.entries:
            if one is not entry:
                self.cut(entry.ip, one.ip, for_ms)

    def kill(self, entry: SimulatedEntry, for_ms: float) -> None:
        """End an entry's process, and start it again later."""
        if not entry.timers.is_alive:
            return
        self.disturb(entry.name, for_ms=for_ms)
        entry.kill()
        self.timers.after(for_ms, entry.start)

    def silence_all(self) -> None:
        """Make all open connections silent; new ones work."""
        self.disturb()
        self.network.silence()

    def silence_to_store(self, entry: SimulatedEntry) -> None:
        """Make the open connections of an entry to the store silent."""
        self.disturb(entry.name)
        self.network.silence(entry.ip, STORE.ip)

    def refuse(self, status: int, for_ms: float, *entries: SimulatedEntry) -> None:
        """Have the store refuse entries for a while; all if none are given."""
        self.disturb(*(entry.name for entry in entries), for_ms=for_ms)
        ips = [entry.ip for entry in entries or self.entries]
        self.store.refusals.update(dict.fromkeys(ips, status))

        def serve_again() -> None:
            for ip in ips:
                self.store.refusals.pop(ip, None)

        self.timers.after(for_ms, serve_again)

    def slow_down_store(self, delay_ms: float, for_ms: float) -> None:
        """Have the store take longer for each response."""
        self.disturb(for_ms=for_ms)
        before_ms, self.store.delay_ms = self.store.delay_ms, delay_ms
        self.timers.after(for_ms, lambda: setattr(self.store, "delay_ms", before_ms))

    def lose_responses(self, share: float, for_ms: float) -> None:
        """Have the store lose responses, and their connections with them."""
        self.disturb(for_ms=for_ms)
        self.store.lost_share = share
        self.timers.after(for_ms, lambda: setattr(self.store, "lost_share", 0.0))

    def restore_store(self, silently: bool, away_ms: float, writes: int) -> None:
        """Have the store come back from its latest copy, and its operator write again.

        :param silently: whether calls get no response meanwhile, in place of a refusal, and watches
            stay open.
        :param away_ms: time until it is back.
        :param writes: other writes after that.
        """
        copy = self.store.model.copy()
        self.change()
        self.run(500.0)
        self.disturb(for_ms=away_ms)
        if silently:
            self.network.silence(STORE.ip, *(one.ip for one in self.entries))
            for entry in self.entries:
                self.cut(entry.ip, STORE.ip, away_ms)
        else:
            self.store.cut_watches()
            self.refuse(503, away_ms)
        self.run(away_ms)
        self.store.restore(copy)
        self.change()
        for _ in range(writes):
            self.write_searcher()

    def run(self, duration_ms: float) -> None:
        """Let time pass, and record what is not in force in time."""
        for _ in range(round(duration_ms / STEP_MS)):
            self.timers.advance(STEP_MS)
            due = self._due_version()
            for entry in self.entries:
                known = 0 if entry.plan is None else entry.plan.version
                if known < due and self._is_in_touch(entry.name):
                    self.late.append((self.timers.now_ms(), entry.name, known, due))

    def _due_version(self) -> int:
        until_ms = self.timers.now_ms() - APPLY_MS
        due = [version for at_ms, version in self._acknowledged if at_ms <= until_ms]
        return max(due, default=0)

    def _is_in_touch(self, name: str) -> bool:
        now_ms = self.timers.now_ms()
        spans = self._spans.get(name, []) + self._spans.get(STORE.ip, [])
        return not any(start <= now_ms and now_ms - end < STABLE_MS for start, end in spans)
