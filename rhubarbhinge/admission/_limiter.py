"""Bounds the queries in flight, by class, and finds the bound that the searchers can carry."""

import random

from rhubarbhinge.admission._verdict import Admitted, Refused, Verdict

#: How often the limit is reconsidered.
WINDOW_MS = 100.0
#: Share of late or failed queries above which the limit falls.
_BAD_SHARE = 0.05
#: A query that took more than this share of its deadline counts as late.
_LATE_SHARE = 0.6
#: Multiplicative decrease, as usual for AIMD limits.
_DECREASE = 0.85
#: Additive increase, as a share of the limit, at least one.
_INCREASE_SHARE = 0.05
#: The limit is raised only while at least this share of it is used.
_USED_SHARE = 0.7
_LEAST_LIMIT = 4.0
#: The lightest class may use this share of the limit; the heaviest all of it.
_LIGHTEST_SHARE = 0.5
_LEAST_RETRY_MS = 50.0
_MOST_RETRY_MS = 5_000.0
#: Spread of retry-after, so that the refused do not come back together.
_RETRY_SPREAD = 0.25


class Limiter:
    """Admits queries or refuses them at once.

    Nothing waits here: what cannot be served in time by the queries ahead of it is refused as not
    run, with the time to come back. A lighter class is refused sooner than a heavier one.

    :param most_in_flight: the rules' bound.
    :param heaviest_weight: the largest weight among the classes.
    :param rng: source of the spread of retry-after.
    :param refusing: False admits everything; a switch for measuring.
    """

    def __init__(
        self,
        most_in_flight: int,
        heaviest_weight: float,
        rng: random.Random,
        refusing: bool = True,
    ) -> None:
        self._rng = rng
        self._refusing = refusing
        self._in_flight = 0
        self._peak = 0
        self._mean_took_ms = 20.0
        self._window_end_ms = 0.0
        self._ended = 0
        self._bad = 0
        self._refused = 0
        self._limit = float(most_in_flight)
        self.configure(most_in_flight, heaviest_weight)

    @property
    def limit(self) -> float:
        """Give the bound in force.

        :returns: queries in flight.
        """
        return self._limit

    @property
    def in_flight(self) -> int:
        """Give the queries in flight.

        :returns: their number.
        """
        return self._in_flight

    def configure(self, most_in_flight: int, heaviest_weight: float) -> None:
        """Take new rules.

        :param most_in_flight: the rules' bound.
        :param heaviest_weight: the largest weight among the classes.
        """
        self._most = float(most_in_flight)
        self._heaviest_weight = max(1.0, heaviest_weight)
        self._limit = min(self._limit, self._most)

    def admit(self, weight: float, now_ms: float) -> Verdict:
        """Decide on one query.

        :param weight: its class's weight.
        :param now_ms: the time.
        :returns: admitted (and counted in flight), or refused with when to come back.
        """
        self._turn_window(now_ms)
        if self._refusing and self._in_flight + 1 > self._allowed(weight):
            self._refused += 1
            return Refused(self._retry_after_ms())
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)
        return Admitted()

    def ended(self, took_ms: float, deadline_ms: float, met: bool, now_ms: float) -> None:
        """Count a query that is over.

        :param took_ms: how long it took.
        :param deadline_ms: how long it was allowed.
        :param met: whether it was answered as its class asks.
        :param now_ms: the time.
        """
        self._in_flight -= 1
        self._ended += 1
        self._bad += not met or took_ms > _LATE_SHARE * deadline_ms
        self._mean_took_ms += 0.05 * (took_ms - self._mean_took_ms)
        self._turn_window(now_ms)

    def _allowed(self, weight: float) -> float:
        share = min(1.0, weight / self._heaviest_weight)
        return max(1.0, self._limit * (_LIGHTEST_SHARE + (1.0 - _LIGHTEST_SHARE) * share))

    def _turn_window(self, now_ms: float) -> None:
        if now_ms < self._window_end_ms:
            return
        if self._ended:
            self._adapt()
        self._window_end_ms = now_ms + WINDOW_MS
        self._ended = 0
        self._bad = 0
        self._refused = 0
        self._peak = self._in_flight

    def _adapt(self) -> None:
        if self._bad > _BAD_SHARE * self._ended:
            self._limit = min(self._most, max(_LEAST_LIMIT, self._limit * _DECREASE))
        elif self._peak >= _USED_SHARE * self._limit:
            step = max(1.0, self._limit * _INCREASE_SHARE)
            self._limit = min(self._most, self._limit + step)

    def _retry_after_ms(self) -> float:
        per_ms = max(1.0, self._limit) / max(1.0, self._mean_took_ms)
        wait_ms = self._mean_took_ms + self._refused / per_ms
        spread = 1.0 + _RETRY_SPREAD * (2.0 * self._rng.random() - 1.0)
        return min(_MOST_RETRY_MS, max(_LEAST_RETRY_MS, wait_ms)) * spread
