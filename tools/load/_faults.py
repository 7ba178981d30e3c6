"""Faults that a trial brings about from outside, by name."""

import signal
from collections.abc import Callable

from standins.operators import Deployment

SLOW_FACTOR = 8.0
"""How much longer a slow searcher takes; the operators' days have 4 to 12."""

Fault = Callable[[Deployment], None]


def calm(deployment: Deployment) -> None:
    """Do nothing.

    :param deployment: the deployment.
    """


def slow_searchers(deployment: Deployment) -> None:
    """Slow one searcher of each fourth shard.

    :param deployment: the deployment.
    """
    for searcher in _of_each_fourth_shard(deployment):
        usual = searcher.work_ms
        searcher.work_ms = lambda path, usual=usual: SLOW_FACTOR * usual(path)


def shedding(deployment: Deployment) -> None:
    """Have one searcher of each fourth shard refuse everything.

    :param deployment: the deployment.
    """
    for searcher in _of_each_fourth_shard(deployment):
        searcher.refuses = True


def lost_searchers(deployment: Deployment) -> None:
    """Withdraw one searcher of each fourth shard, without a notice; its open requests end.

    :param deployment: the deployment.
    """
    for searcher in _of_each_fourth_shard(deployment):
        deployment.delete(f"servers/{searcher.incarnation}")


def entry_killed(deployment: Deployment) -> None:
    """Kill one entry; its callers go to the others.

    :param deployment: the deployment.
    """
    deployment.entries[-1].signal(signal.SIGKILL)


def store_away(deployment: Deployment) -> None:
    """Have the store turn all entries away.

    :param deployment: the deployment.
    """
    for entry in deployment.entries:
        deployment.turn_away(entry)


FAULTS: dict[str, Fault] = {
    "calm": calm,
    "slow-searchers": slow_searchers,
    "shedding": shedding,
    "lost-searchers": lost_searchers,
    "entry-killed": entry_killed,
    "store-away": store_away,
}
"""Faults by name."""


def _of_each_fourth_shard(deployment: Deployment) -> list:
    return [
        searcher
        for name, searcher in deployment.searchers.items()
        if searcher.service.startswith("shard-")
        and int(searcher.service.rpartition("-")[2]) % 4 == 0
        and name.endswith("-1")
    ]
