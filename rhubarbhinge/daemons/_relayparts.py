"""What work on searchers is built from, in a relay and in an entry without relays."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._node import Node
from rhubarbhinge.daemons._switches import relay_policy
from rhubarbhinge.routing import RelayPolicy
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import HttpClient, HttpConnections


@dataclass(frozen=True, slots=True)
class RelayParts:
    """Parts of the node that works on searchers.

    :param timers: the timer service.
    :param identity: this node.
    :param rng: source of random choices.
    :param policy: settings of the core.
    :param connections: takes three callbacks and gives the component that owns the sockets.
    :param client: for health polls and cancels.
    """

    timers: TimerService
    identity: Identity
    rng: random.Random
    policy: RelayPolicy
    connections: Callable[..., HttpConnections]
    client: HttpClient


def relay_parts(node: Node) -> RelayParts:
    """Give the parts of a node.

    :param node: the node; it owns the connections.
    :returns: the parts.
    """
    return RelayParts(
        node.timers,
        node.identity,
        node.rng,
        relay_policy(node.settings),
        lambda *callbacks: HttpConnections(node.timers, *callbacks).register(node),
        node.client,
    )
