"""A reader of the platform and entries that follow it, on real sockets."""

import random

from circuits import BaseComponent

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.members import Member
from rhubarbhinge.peers import KnownState, Reports, SharedSource
from rhubarbhinge.peers._state_service import StateService
from rhubarbhinge.plans import CallerLimits, Route, Service, ServingPlan, ShardSet
from rhubarbhinge.published import Changes, Follower, ReadFault, Snapshot
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing_revisions import at
from rhubarbhinge.web import HttpClient, HttpServer

SHARDS, LATER_SHARDS, REPLICAS = 90, 135, 3
"""Shards of a route, those of the next index, and searchers of each: a deployment of 60 VMs."""
SILENT_MS = 300.0
"""A call to a platform that is silent ends after so long."""
ROUTES = 50
"""Routes of such a deployment, most of them searches."""


class ToldSource:
    """Published state that a test tells."""

    def __init__(self):
        self.answer = None

    def read_all(self, on_done, allow_stale=False) -> None:
        self.answer = on_done

    def wait_for_changes(self, after_revision, on_done) -> None:
        self.answer = on_done


class SilentSource(ToldSource):
    """Published state that a test tells once, and a platform that is silent from then on.

    An entry whose reader did not answer in time asks the platform; a real one answers, or the call
    ends with its timeout, after which the reader is asked again.

    :param timers: the timer service.
    """

    def __init__(self, timers: TimerService):
        super().__init__()
        self._timers = timers

    def read_all(self, on_done, allow_stale=False) -> None:
        if self.answer is None:
            self.answer = on_done
        else:
            self._end(on_done)

    def wait_for_changes(self, after_revision, on_done) -> None:
        self._end(on_done)

    def _end(self, on_done) -> None:
        self._timers.after(SILENT_MS, lambda: on_done(ReadFault("timeout")))


class OneReader:
    """A membership in which others follow one reader.

    :param reader: the reader; None for the reader's own.
    """

    def __init__(self, reader: Member | None):
        self._readers = [] if reader is None else [reader]

    def live(self, failure_domain: str) -> list[Member]:
        return self._readers

    def present_for_ms(self, name: str) -> float:
        return float("inf")


class Reader:
    """An entry that reads the platform, and tells others.

    :param root: the tree of components.
    :param timers: the timer service.
    """

    def __init__(self, root: BaseComponent, timers: TimerService, seed: int = 1):
        self.source = ToldSource()
        fleet = Fleet(timers.now_ms, lambda observed: None)
        self.follower = Follower(timers, self.source, fleet, random.Random(seed), lambda plan: None)
        service = StateService(timers, self.follower, OneReader(None), lambda: True)
        self.server = HttpServer(timers, service.answer, ("127.0.0.1", 0)).register(root)
        self.follower.start()

    @property
    def port(self) -> int:
        return self.server.bound_port

    def tell(self, state: Changes | Snapshot) -> None:
        """Have the platform tell it something."""
        self.source.answer(state)


class FollowingEntry:
    """An entry that follows a reader.

    :param root: the tree of components.
    :param timers: the timer service.
    :param name: its name.
    :param reader: the reader.
    """

    def __init__(self, root: BaseComponent, timers: TimerService, name: str, reader: Reader):
        self.store = SilentSource(timers)
        client = HttpClient(timers, takes_gzip=True).register(root)
        self.source = SharedSource(timers, client, self.store, name, "hall-a", reader.port)
        self.source.know(
            OneReader(Member("vm-1", "127.0.0.1", "hall-a", 1)),
            Reports(),
            lambda: KnownState.of(self.follower),
        )
        fleet = Fleet(timers.now_ms, lambda observed: None)
        self.follower = Follower(timers, self.source, fleet, random.Random(1), lambda plan: None)

    def start(self, state: Snapshot) -> None:
        """Read the platform once, as each entry does at its start, and follow from then on."""
        self.follower.start()
        self.store.answer(state)

    def knows(self, other: Follower) -> bool:
        """Tell whether it knows just what another one does."""
        mine, others = self.follower.snapshot(), other.snapshot()
        return (
            mine.revision == others.revision
            and mine.plan == others.plan
            and set(mine.searchers) == set(others.searchers)
        )


def names(rng: random.Random, count: int) -> list[str]:
    """Draw names of services, which compress no better than real ones."""
    letters = "bdfghjklmnprstvwxyz"
    return [
        "".join(rng.choice(letters) + rng.choice("aeiou") for _ in range(2))
        + f"{number}{rng.choice(letters)}"
        for number in range(count)
    ]


def large_state(seed: int = 1) -> Snapshot:
    """Make the published state of a deployment of 60 VMs."""
    rng = random.Random(seed)
    shards, later = names(rng, SHARDS), names(rng, LATER_SHARDS)
    services = {name: Service(name, "/health", 52) for name in shards + later}
    hosts = [f"{name}.example" for name in names(rng, ROUTES)]
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
        for host, name in zip(hosts, names(rng, ROUTES), strict=True)
    )
    searchers = tuple(
        Searcher(
            f"i-{rng.getrandbits(40):010x}",
            shard,
            f"10.{place + 1}.64.{number}",
            8_287,
            f"hall-{'abc'[place]}",
            2,
        )
        for number, shard in enumerate(shards)
        for place in range(REPLICAS)
    )
    return Snapshot(at(100), ServingPlan(7, routes, services, CallerLimits()), searchers)
