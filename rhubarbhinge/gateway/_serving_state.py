"""Whether an entry can serve, as far as the balancer and callers are concerned."""

from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.telemetry import log_event

BALANCER_REACTION_MS = 2_200.0
"""The balancer asks once a second and sends callers elsewhere after two misses."""


class ServingState:
    """Whether an entry can serve; without searchers in reach its callers are better off elsewhere.

    :param now_ms: gives the time.
    :param fleet: the searchers.
    :param can_serve: works out whether most of what callers ask for can be served.
    :param on_change: told each change.
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
        """Work it out anew."""
        serving = self._can_serve()
        if serving == self.is_serving:
            return
        self.is_serving = serving
        self._callers_moved_at_ms = 0.0 if serving else self._now_ms() + BALANCER_REACTION_MS
        self._on_change(serving)
        unreachable = sum(observed.is_down for observed in self._fleet.all())
        log_event("serving-changed", serving=serving, searchers_unreachable=unreachable)

    def balancer_delay_ms(self) -> float:
        """Tell when the balancer will have sent callers elsewhere, as this entry can't serve.

        :returns: time until then; 0 while it serves, and after that.
        """
        return max(0.0, self._callers_moved_at_ms - self._now_ms())
