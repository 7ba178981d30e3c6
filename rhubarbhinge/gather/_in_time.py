"""Which shards answer in time, and which are left out while they can not keep up."""

import random
from collections.abc import Iterable

from rhubarbhinge.plans import ShardSet

SMOOTHING = 0.15
"""Weight of a new observation; about ten searches tell that a shard can't keep up."""
BEHIND_SHARE = 0.6
"""A shard that answers in time less often than this can't keep up with what it is asked."""
MOST_SKIPPED_SHARE = 0.1
"""Most shards of a search that are left out on purpose."""
RESERVE = 1
"""Shards that may still fail after some were left out, without the answer becoming too small."""


class InTimeShares:
    """How often each shard answered in time lately.

    A shard whose searchers have more to do than they can finish answers nobody in time, and every
    search waits for it in vain. Leaving it out of some searches, a different one each time, lets
    it answer the others.

    :param rng: spreads what is left out.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._shares: dict[str, float] = {}

    def on_search(self, asked: Iterable[str], answered: Iterable[str]) -> None:
        """Take what came of a search.

        :param asked: shards that were asked.
        :param answered: those that answered in time.
        """
        in_time = set(answered)
        for service in asked:
            old = self._shares.get(service, 1.0)
            self._shares[service] = old + SMOOTHING * ((service in in_time) - old)

    def to_skip(self, shards: ShardSet, services: Iterable[str]) -> set[str]:
        """Choose shards to leave out of a search.

        :param shards: the shards of the search.
        :param services: those that could be asked.
        :returns: names of the shards to leave out; none while all keep up.
        """
        candidates = list(services)
        behind = [name for name in candidates if self._shares.get(name, 1.0) < BEHIND_SHARE]
        spare = 0
        while shards.is_enough(len(candidates) - spare - 1 - RESERVE):
            spare += 1
        most = min(spare, int(MOST_SKIPPED_SHARE * len(shards.services)), len(behind))
        return set(self._rng.sample(behind, most))

    def keep(self, services: Iterable[str]) -> None:
        """Forget shards that are no longer served.

        :param services: those that are.
        """
        for name in self._shares.keys() - set(services):
            del self._shares[name]
