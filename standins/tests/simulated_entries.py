"""Entries in simulated time: all that makes them follow the published state, without sockets."""

import functools
import random
from unittest import mock

from rhubarbhinge_platform._store import Store

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.gateway import Address
from rhubarbhinge.gateway._entry import STATE_IDLE_MS
from rhubarbhinge.peers import KnownState, Peers, SharedSource
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published import Follower, Freshness
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.timing import TimerHandle
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.web import HttpClient
from standins.tests.simulated_network import (
    Network,
    SimulatedConnections,
    SimulatedDatagrams,
    SimulatedServer,
)
from standins.tests.simulated_store import SimulatedStore

STORE = Address("10.0.0.1", 8100)
PEER_PORT = 7380


class ProcessTimers:
    """The timer service of one process, whose callbacks are not called after its end.

    :param timers: the simulated time.
    """

    def __init__(self, timers: FakeTimers):
        self._timers = timers
        self.is_alive = True
        self.now_ms = timers.now_ms

    def after(self, delay_ms, callback) -> TimerHandle:
        return self._timers.after(delay_ms, lambda: callback() if self.is_alive else None)

    def every(self, period_ms, callback) -> TimerHandle:
        def run() -> None:
            callback()
            self.every(period_ms, callback)

        return self.after(period_ms, run)

    def on_pause(self, callback) -> None:
        pass


class SimulatedEntry:
    """One entry.

    :param network: the network.
    :param name: name of its VM.
    :param ip: IP address of its VM.
    :param failure_domain: its failure domain.
    :param seed_ips: IP addresses of other VMs.
    :param freshness: how recent its state has to be.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        ip: str,
        failure_domain: str,
        seed_ips: tuple[str, ...],
        freshness: Freshness,
    ):
        self._network = network
        self._freshness = freshness
        self._seed_ips = seed_ips
        self.name, self.ip, self.failure_domain = name, ip, failure_domain
        self.timers = ProcessTimers(network.timers)
        self.start()

    def start(self) -> None:
        """Start its process."""
        network, rng = self._network, random.Random(self._network.rng.getrandbits(64))
        timers = self.timers = ProcessTimers(network.timers)
        connections = functools.partial(SimulatedConnections, network, self.ip)
        datagrams = functools.partial(SimulatedDatagrams, network)
        server = functools.partial(SimulatedServer, network)
        with (
            mock.patch("rhubarbhinge.web._client.HttpConnections", connections),
            mock.patch("rhubarbhinge.peers._peers.Datagrams", datagrams),
            mock.patch("rhubarbhinge.peers._peers.HttpServer", server),
        ):
            self._start_components(timers, rng)

    def _start_components(self, timers: ProcessTimers, rng: random.Random) -> None:
        store_client = HttpClient(timers, idle_timeout_ms=STATE_IDLE_MS)
        peer_client = HttpClient(timers, accept_gzip=True, idle_timeout_ms=STATE_IDLE_MS)
        source = SharedSource(
            timers,
            peer_client,
            Store(store_client, lambda: STORE),
            self.name,
            self.failure_domain,
            PEER_PORT,
            self._freshness,
        )
        fleet = Fleet(timers.now_ms, lambda observed: None)
        peers: list[Peers] = []
        follower = Follower(
            timers,
            source,
            fleet,
            rng,
            lambda plan: peers[0].announce_plan() if peers else None,
            self._freshness,
        )
        quarantine = Quarantine(timers.now_ms, lambda fingerprint: True, lambda: None, rng)
        peers.append(
            Peers(
                timers,
                peer_client,
                follower,
                self.name,
                self.ip,
                PEER_PORT,
                self.failure_domain,
                self._seed_ips,
                rng,
                lambda: source.reads_platform,
                quarantine,
            )
        )
        source.set_peers(
            peers[0].membership, peers[0].reports, lambda: KnownState.from_follower(follower)
        )
        self.follower, self.source, self.fleet = follower, source, fleet
        follower.start()

    @property
    def plan(self) -> ServingPlan | None:
        """The serving plan that is in force."""
        return self.follower.plan

    @property
    def is_reader(self) -> bool:
        """Whether it reads the store for its failure domain."""
        return self.source.reads_platform

    def kill(self) -> None:
        """End its process; its host resets the connections."""
        self.timers.is_alive = False
        self._network.servers.pop((self.ip, PEER_PORT), None)
        self._network.receivers.pop((self.ip, PEER_PORT), None)
        self._network.reset(self.ip)


def serve_store(network: Network, store: SimulatedStore) -> None:
    """Let a store answer at its address."""
    network.servers[STORE] = store.handle
