"""Decides when to ask for a loan of extra sends, and which entry."""

import random
from collections.abc import Callable, Sequence

from msgspec import Struct

MAX_TRIES = 3
"""Entries asked in a row without success. Where three that were drawn have nothing to lend, demand
is not just at this entry."""
PAUSE_MS = 1_000.0
"""Time without requests for a service after that many were unsuccessful; requests have a cost, and
the budgets of other entries recover over ten seconds."""
UNSUPPORTED_MS = 30_000.0
"""Time for which an entry of an earlier release is not asked; it may be replaced meanwhile."""
MAX_FAILED_PER_S = 20
"""Unsuccessful requests per second for all services. A search has an extra send for each of a
hundred shards; if all entries are short for all shards, asking must not add to their load."""
FAILED_PERIOD_MS = 1_000.0
MAX_IDLE_SERVICES = 512
"""Services whose turns are kept; more than a deployment has, and a few hundred KB."""


class _Turns(Struct, eq=False):
    """Turns of the requests for one service.

    :param order: entries that are to be asked next, the last one first.
    :param tries: requests in a row without success.
    :param max_tries: number of such requests after which there is a pause.
    :param is_asking: whether a request is outstanding.
    :param paused_until_ms: time until which nothing is asked.
    """

    order: list[str]
    tries: int = 0
    max_tries: int = MAX_TRIES
    is_asking: bool = False
    paused_until_ms: float = 0.0


class LoanTurns:
    """Decides when to ask for a loan of extra sends, and which entry.

    Each entry is asked once before any of them is asked again, so that those that have lent are
    spared.

    :param now_ms: returns the current time.
    :param rng: chooses the order.
    :ivar failed: number of requests without success since startup.
    """

    def __init__(self, now_ms: Callable[[], float], rng: random.Random):
        self._now_ms = now_ms
        self._rng = rng
        self._turns: dict[str, _Turns] = {}
        self._unsupported_until_ms: dict[str, float] = {}
        self._period_ms = now_ms()
        self._failed_in_period = 0
        self.failed = 0

    def is_asking(self, service: str) -> bool:
        """Check whether a request is outstanding.

        :param service: name of the service.
        :returns: whether one is.
        """
        turns = self._turns.get(service)
        return turns is not None and turns.is_asking

    def choose(self, service: str, entries: Callable[[], Sequence[str]]) -> str | None:
        """Choose the entry to ask, which is then taken to be asked until the outcome is known.

        :param service: name of the service.
        :param entries: returns the names of the other entries that may be asked.
        :returns: name of the entry; None if none is to be asked now.
        """
        now_ms = self._now_ms()
        turns = self._turns.get(service)
        if turns is not None and (turns.is_asking or now_ms < turns.paused_until_ms):
            return None
        if self._is_failing_often(now_ms):
            return None
        candidates = [
            name for name in entries() if self._unsupported_until_ms.get(name, now_ms) <= now_ms
        ]
        if not candidates:
            return None
        if turns is None:
            self._drop_idle(now_ms)
            turns = self._turns[service] = _Turns([])
        turns.max_tries = min(MAX_TRIES, len(candidates))
        turns.is_asking = True
        allowed = set(candidates)
        while turns.order:
            name = turns.order.pop()
            if name in allowed:
                return name
        turns.order = candidates
        self._rng.shuffle(turns.order)
        return turns.order.pop()

    def on_granted(self, service: str) -> None:
        """Record that a loan was granted.

        :param service: name of the service.
        """
        turns = self._turns[service]
        turns.is_asking = False
        turns.tries = 0

    def on_failed(self, service: str) -> None:
        """Record that a request was refused or not answered.

        :param service: name of the service.
        """
        self.failed += 1
        self._failed_in_period += 1
        turns = self._turns[service]
        turns.is_asking = False
        turns.tries += 1
        if turns.tries >= turns.max_tries:
            turns.tries = 0
            turns.paused_until_ms = self._now_ms() + PAUSE_MS

    def on_unsupported(self, entry: str) -> None:
        """Record that an entry does not know such requests.

        :param entry: name of the entry.
        """
        now_ms = self._now_ms()
        current = self._unsupported_until_ms.items()
        self._unsupported_until_ms = {name: until for name, until in current if until > now_ms}
        self._unsupported_until_ms[entry] = now_ms + UNSUPPORTED_MS

    def _is_failing_often(self, now_ms: float) -> bool:
        if now_ms - self._period_ms >= FAILED_PERIOD_MS:
            self._period_ms = now_ms
            self._failed_in_period = 0
        # Outstanding requests may all fail.
        outstanding = sum(turns.is_asking for turns in self._turns.values())
        return self._failed_in_period + outstanding >= MAX_FAILED_PER_S

    def _drop_idle(self, now_ms: float) -> None:
        if len(self._turns) >= MAX_IDLE_SERVICES:
            self._turns = {
                service: turns
                for service, turns in self._turns.items()
                if turns.is_asking or now_ms < turns.paused_until_ms
            }
