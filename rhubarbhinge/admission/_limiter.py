"""Adaptive limit on the queries in flight, with a share for each traffic class."""

import random

from rhubarbhinge.admission._decision import Admitted, Decision, Refused

#: Interval between adjustments of the limit.
WINDOW_MS = 100.0
#: Fraction of late or failed queries above which the limit is decreased.
_BAD_FRACTION = 0.05
#: A query that takes more than this fraction of its deadline counts as late.
_LATE_FRACTION = 0.6
#: Factor of the multiplicative decrease, as usual for AIMD limits.
_DECREASE = 0.85
#: Additive increase, as a fraction of the limit; at least one query.
_INCREASE_FRACTION = 0.05
#: The limit is increased only while at least this fraction of it is in use.
_MIN_UTILIZATION = 0.7
_MIN_LIMIT = 4.0
#: Fraction of the limit for a class of negligible weight; the heaviest class may use all of it.
_LIGHTEST_FRACTION = 0.5
_MIN_RETRY_MS = 50.0
_MAX_RETRY_MS = 5_000.0
#: Random jitter of retry-after, so that refused callers don't retry all at once.
_RETRY_JITTER = 0.25


class Limiter:
    """Admits queries or refuses them immediately, by an AIMD limit on concurrency.

    There is no queue: a query that exceeds the limit is refused without being run, with a time to
    retry after. Queries of a lighter class are refused before those of a heavier one.

    :param most_in_flight: configured upper bound of the limit.
    :param heaviest_weight: the largest weight among the classes.
    :param rng: source of the jitter of retry-after.
    :param enforcing: False admits every query; for measurements.
    """

    def __init__(
        self,
        most_in_flight: int,
        heaviest_weight: float,
        rng: random.Random,
        enforcing: bool = True,
    ) -> None:
        self._rng = rng
        self._enforcing = enforcing
        self._in_flight = 0
        self._peak = 0
        self._mean_duration_ms = 20.0
        self._window_end_ms = 0.0
        self._completed_count = 0
        self._bad_count = 0
        self._refused_count = 0
        self._limit = float(most_in_flight)
        self.configure(most_in_flight, heaviest_weight)

    @property
    def limit(self) -> float:
        """Return the current limit.

        :returns: number of queries.
        """
        return self._limit

    @property
    def in_flight(self) -> int:
        """Return the number of queries in flight.

        :returns: number of queries.
        """
        return self._in_flight

    def configure(self, most_in_flight: int, heaviest_weight: float) -> None:
        """Apply a new configuration.

        :param most_in_flight: configured upper bound of the limit.
        :param heaviest_weight: the largest weight among the classes.
        """
        self._max_limit = float(most_in_flight)
        self._heaviest_weight = max(1.0, heaviest_weight)
        self._limit = min(self._limit, self._max_limit)

    def admit(self, weight: float, now_ms: float) -> Decision:
        """Admit or refuse a query.

        :param weight: weight of its class.
        :param now_ms: the current time.
        :returns: the decision; an admitted query counts as in flight.
        """
        self._roll_window(now_ms)
        if self._enforcing and self._in_flight + 1 > self._limit_for(weight):
            self._refused_count += 1
            return Refused(self._retry_after_ms())
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)
        return Admitted()

    def ended(self, took_ms: float, deadline_ms: float, met: bool, now_ms: float) -> None:
        """Record the end of an admitted query.

        :param took_ms: its duration.
        :param deadline_ms: the time that it was allowed.
        :param met: whether its result met the requirements of its class.
        :param now_ms: the current time.
        """
        self._in_flight -= 1
        self._completed_count += 1
        self._bad_count += not met or took_ms > _LATE_FRACTION * deadline_ms
        self._mean_duration_ms += 0.05 * (took_ms - self._mean_duration_ms)
        self._roll_window(now_ms)

    def _limit_for(self, weight: float) -> float:
        share = min(1.0, weight / self._heaviest_weight)
        return max(1.0, self._limit * (_LIGHTEST_FRACTION + (1.0 - _LIGHTEST_FRACTION) * share))

    def _roll_window(self, now_ms: float) -> None:
        if now_ms < self._window_end_ms:
            return
        if self._completed_count:
            self._adjust_limit()
        self._window_end_ms = now_ms + WINDOW_MS
        self._completed_count = 0
        self._bad_count = 0
        self._refused_count = 0
        self._peak = self._in_flight

    def _adjust_limit(self) -> None:
        if self._bad_count > _BAD_FRACTION * self._completed_count:
            self._limit = min(self._max_limit, max(_MIN_LIMIT, self._limit * _DECREASE))
        elif self._peak >= _MIN_UTILIZATION * self._limit:
            step = max(1.0, self._limit * _INCREASE_FRACTION)
            self._limit = min(self._max_limit, self._limit + step)

    def _retry_after_ms(self) -> float:
        completions_per_ms = max(1.0, self._limit) / max(1.0, self._mean_duration_ms)
        wait_ms = self._mean_duration_ms + self._refused_count / completions_per_ms
        jitter = 1.0 + _RETRY_JITTER * (2.0 * self._rng.random() - 1.0)
        return min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, wait_ms)) * jitter
