"""An entry that reads the platform and entries that follow it, on real sockets."""

import random

from circuits import BaseComponent

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.members import Member
from rhubarbhinge.peers import KnownState, PeerReports, SharedSource
from rhubarbhinge.peers._state_service import StateService
from rhubarbhinge.plans import CallerLimits, Route, Service, ServingPlan, ShardSet
from rhubarbhinge.published import Changes, Follower, ReadFailure, Snapshot
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing_revisions import make_revision
from rhubarbhinge.web import HttpClient, HttpServer

SHARDS, LATER_SHARDS, REPLICAS = 90, 135, 3
"""Shards of a route, shards of its next index, and replicas of each, in a deployment of 60 VMs."""
CALL_TIMEOUT_MS = 300.0
"""Timeout of a call to an unresponsive platform."""
ROUTES = 50
"""Routes of such a deployment, most of them searches."""


class ScriptedSource:
    """Source of published state whose responses a test provides."""

    def __init__(self):
        self.callback = None

    def read_all(self, on_done, allow_stale=False) -> None:
        self.callback = on_done

    def wait_for_changes(self, after_revision, *arguments) -> None:
        self.callback = arguments[-1]

    def confirm(self) -> None:
        pass


class UnresponsiveSource(ScriptedSource):
    """Source whose first response a test provides, and that does not respond from then on.

    An entry whose reader did not respond in time asks the platform. A real platform responds, or
    the call times out, after which the reader is asked again.

    :param timers: the timer service.
    """

    def __init__(self, timers: TimerService):
        super().__init__()
        self._timers = timers

    def read_all(self, on_done, allow_stale=False) -> None:
        if self.callback is None:
            self.callback = on_done
        else:
            self._time_out(on_done)

    def wait_for_changes(self, after_revision, *arguments):
        self._time_out(arguments[-1])
        return lambda: None

    def _time_out(self, on_done) -> None:
        self._timers.after(CALL_TIMEOUT_MS, lambda: on_done(ReadFailure("timeout")))


class SingleReaderMembership:
    """Membership with a single reader for all others.

    :param reader: the reader; None for the reader's own.
    """

    def __init__(self, reader: Member | None):
        self._readers = [] if reader is None else [reader]

    def live(self, failure_domain: str) -> list[Member]:
        return self._readers

    def present_for_ms(self, name: str) -> float:
        return float("inf")


class ReaderEntry:
    """An entry that reads the platform and serves others.

    :param root: the tree of components.
    :param timers: the timer service.
    """

    def __init__(self, root: BaseComponent, timers: TimerService, seed: int = 1):
        self.source = ScriptedSource()
        fleet = Fleet(timers.now_ms, lambda observed: None)
        self.follower = Follower(timers, self.source, fleet, random.Random(seed), lambda plan: None)
        service = StateService(timers, self.follower, SingleReaderMembership(None), lambda: True)
        self.server = HttpServer(timers, service.answer, ("127.0.0.1", 0)).register(root)
        self.follower.start()

    @property
    def port(self) -> int:
        return self.server.bound_port

    def receive(self, state: Changes | Snapshot) -> None:
        """Deliver a response of the platform."""
        self.source.callback(state)


class FollowerEntry:
    """An entry that follows a reader.

    :param root: the tree of components.
    :param timers: the timer service.
    :param name: its name.
    :param reader: the reader.
    """

    def __init__(self, root: BaseComponent, timers: TimerService, name: str, reader: ReaderEntry):
        self.store = UnresponsiveSource(timers)
        client = HttpClient(timers, accept_gzip=True).register(root)
        self.source = SharedSource(timers, client, self.store, name, "hall-a", reader.port)
        self.source.set_peers(
            SingleReaderMembership(Member("vm-1", "127.0.0.1", "hall-a", 1)),
            PeerReports(),
            lambda: KnownState.from_follower(self.follower),
        )
        fleet = Fleet(timers.now_ms, lambda observed: None)
        self.follower = Follower(timers, self.source, fleet, random.Random(1), lambda plan: None)

    def start(self, state: Snapshot) -> None:
        """Read the platform once, as each entry does at its start, then follow the reader."""
        self.follower.start()
        self.store.callback(state)

    def has_same_state(self, other: Follower) -> bool:
        """Check whether it has the same state as another entry."""
        own, others = self.follower.snapshot(), other.snapshot()
        return (
            own.revision == others.revision
            and own.plan == others.plan
            and set(own.searchers) == set(others.searchers)
        )


def random_names(rng: random.Random, count: int) -> list[str]:
    """Generate names of services that compress no better than real ones."""
    letters = "bdfghjklmnprstvwxyz"
    return [
        "".join(rng.choice(letters) + rng.choice("aeiou") for _ in range(2))
        + f"{number}{rng.choice(letters)}"
        for number in range(count)
    ]


def large_state(seed: int = 1) -> Snapshot:
    """Generate the published state of a deployment of 60 VMs."""
    rng = random.Random(seed)
    shards, later_shards = random_names(rng, SHARDS), random_names(rng, LATER_SHARDS)
    services = {name: Service(name, "/health", 52) for name in shards + later_shards}
    hosts = [f"{name}.example" for name in random_names(rng, ROUTES)]
    shard_set = ShardSet(tuple(shards), 50, 0.95)
    routes = tuple(
        Route(
            f"r-{rng.getrandbits(28):07x}",
            host,
            f"/{name}/",
            True,
            2_500.0,
            187.0,
            1,
            2,
            (),
            shard_set,
        )
        for host, name in zip(hosts, random_names(rng, ROUTES), strict=True)
    )
    searchers = tuple(
        Searcher(
            f"i-{rng.getrandbits(40):010x}",
            shard,
            f"10.{domain_index + 1}.64.{number}",
            8_287,
            f"hall-{'abc'[domain_index]}",
            2,
        )
        for number, shard in enumerate(shards)
        for domain_index in range(REPLICAS)
    )
    return Snapshot(make_revision(100), ServingPlan(7, routes, services, CallerLimits()), searchers)
