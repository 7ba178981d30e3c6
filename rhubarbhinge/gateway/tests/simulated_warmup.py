"""Simulation of entries that send to cold searchers as often as they may."""

from rhubarbhinge.fleet import ColdRule, Fleet, ObservedSearcher, Searcher
from rhubarbhinge.gateway._warmup_limiter import WarmupLimiter
from rhubarbhinge.members.tests.simulated import Fleet as Entries
from rhubarbhinge.members.tests.simulated import Node
from rhubarbhinge.plans import CallerLimits, Service, ServingPlan

RULE = ColdRule(1.5, 5.0)
RATE_PER_S = 12.0
MAX_PER_SECOND = 23
"""Requests per second that the rule allows at this rate."""
WARMUP_MS = 60_000.0
"""Longer than any schedule, so that searchers remain cold."""
SEND_INTERVAL_MS = 7.0
"""Interval between requests of each entry to each searcher, far shorter than permitted."""


class FakeFollower:
    """Fake follower with a fixed plan."""

    def __init__(self, per_s: float = RATE_PER_S):
        service = Service("shard", "/health", 51, WARMUP_MS, per_s)
        self.plan = ServingPlan(3, (), {"shard": service}, CallerLimits())


class SendingEntry:
    """Entry process that sends to all searchers as often as it may.

    :param simulation: provides the searchers.
    :param node: simulated node with the membership of the entry.
    """

    def __init__(self, simulation: "WarmupSimulation", node: Node):
        self._simulation = simulation
        self.node = node
        self.limiter = WarmupLimiter(FakeFollower(), node.membership, lambda: RULE, node.now_ms)
        self.fleet = Fleet(node.now_ms, lambda observed: None)
        for searcher in simulation.searchers:
            self.fleet.put(searcher)
        self._last_number = 0
        node.after(SEND_INTERVAL_MS, self._send)

    def observed(self, name: str) -> ObservedSearcher:
        return next(one for one in self.fleet.all() if one.searcher.incarnation == name)

    def _send(self) -> None:
        now_ms = self.node.now_ms()
        for observed in self.fleet.all():
            if self.limiter.may_send(observed, now_ms):
                self._last_number += 1
                observed.on_sent(self._last_number, now_ms)
                # Some requests wait for a connection.
                wait_ms = self._simulation.entries.rng.choice((0.0, 0.0, 6.0, 300.0))
                self.node.after(
                    wait_ms, lambda o=observed, n=self._last_number: self._written(o, n)
                )
        self.node.after(SEND_INTERVAL_MS, self._send)

    def _written(self, observed: ObservedSearcher, number: int) -> None:
        now_ms = self.node.now_ms()
        observed.on_written(number, now_ms)
        observed.on_reply(number, 5.0, 5.0, now_ms)
        self._simulation.record(observed.searcher.incarnation, now_ms)


class WarmupSimulation:
    """Simulated entries that send to one cold searcher in each failure domain.

    :param domains: names of the entries of each failure domain.
    :param seed: seed of the random numbers.
    """

    def __init__(self, domains: dict[str, list[str]], seed: int = 1):
        self.entries = Entries(domains, seed)
        self.searchers = tuple(
            Searcher(f"i-{name}", "shard", "10.0.0.1", 80, name, 2, warmup_ms=WARMUP_MS)
            for name in domains
        )
        self.sent_ms: dict[str, list[float]] = {one.incarnation: [] for one in self.searchers}
        self.senders: dict[str, SendingEntry] = {}

    def start(self, name: str) -> SendingEntry:
        sender = SendingEntry(self, self.entries.start(name))
        self.senders[name] = sender
        return sender

    def start_all(self, but: list[str]) -> None:
        names = [name for names in self.entries.domains.values() for name in names]
        for name in names:
            if name not in but:
                delay_ms = self.entries.rng.uniform(0.0, 300.0)
                self.entries.clock.after(delay_ms, lambda name=name: self.start(name))

    def record(self, searcher: str, at_ms: float) -> None:
        self.sent_ms[searcher].append(at_ms)

    def most_in_a_second(self) -> int:
        """Return the maximum number of requests to one searcher in any sliding second."""
        return max((_most_in_a_second(times) for times in self.sent_ms.values()), default=0)


def _most_in_a_second(times_ms: list[float]) -> int:
    most = first = 0
    times_ms = sorted(times_ms)
    for place, at_ms in enumerate(times_ms):
        while at_ms - times_ms[first] >= 1_000.0:
            first += 1
        most = max(most, place - first + 1)
    return most
