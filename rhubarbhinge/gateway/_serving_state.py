"""Ability of an entry to serve, as reported to the load balancer and to callers."""

from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.telemetry import log_event

BALANCER_REACTION_MS = 2_200.0
"""Time until the load balancer sends callers elsewhere: it checks once per second and needs two
failures."""


class ServingState:
    """Tracks whether an entry can serve; without reachable searchers, callers should go elsewhere.

    :param now_ms: returns the current time.
    :param fleet: the searchers.
    :param can_serve: checks whether most requests can be served.
    :param on_change: called with the new state on each change.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        fleet: Fleet,
        can_serve: Callable[[], bool],
        on_change: Callable[[bool], None],
    ):
        self._now_ms = now_ms
        self._fleet = fleet
        self._can_serve = can_serve
        self._on_change = on_change
        self._callers_moved_at_ms = 0.0
        self.is_serving = False

    def update(self) -> None:
        """Re-evaluate the state."""
        serving = self._can_serve()
        if serving == self.is_serving:
            return
        self.is_serving = serving
        self._callers_moved_at_ms = 0.0 if serving else self._now_ms() + BALANCER_REACTION_MS
        self._on_change(serving)
        unreachable = sum(observed.is_down for observed in self._fleet.all())
        log_event("serving-changed", serving=serving, searchers_unreachable=unreachable)

    def balancer_delay_ms(self) -> float:
        """Return the time until the load balancer sends callers to other entries.

        :returns: the remaining time; 0 while this entry can serve and once callers have moved.
        """
        return max(0.0, self._callers_moved_at_ms - self._now_ms())
