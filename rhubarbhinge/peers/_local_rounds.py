"""Heartbeats that spread a change at once in the local failure domain."""

import random

from rhubarbhinge.members import Membership
from rhubarbhinge.timing import TimerService

FANOUT = 8
"""Entries that get the heartbeat at once. Each that verifies what it says sends it to as many, so
that with 40 entries in a domain a share of e**-8 of them, one in 3,000, misses it."""
MIN_INTERVAL_MS = 100.0
"""Shortest interval between two rounds. A round takes 8 datagrams of up to 1,200 bytes, which
occupy a link of 7 Mbit/s for 11 ms."""
MAX_RECEIVERS = 160
"""Most entries that are told by one, within 20 rounds. In a larger domain more entries have
something to tell, and each entry needs to hear from one only."""


class LocalRounds:
    """Sends heartbeats at once to entries of the local failure domain, in bounded rounds.

    :param timers: the timer service.
    :param membership: the members of the fleet; sends heartbeats.
    :param rng: chooses the receivers.
    """

    def __init__(self, timers: TimerService, membership: Membership, rng: random.Random):
        self._timers = timers
        self._membership = membership
        self._rng = rng
        self._receivers: list[str] = []
        self._last_round_ms = float("-inf")
        self._is_scheduled = False

    def announce(self) -> None:
        """Send a heartbeat to ``FANOUT`` entries now, or once the interval has passed."""
        self._add(FANOUT)

    def announce_to_all(self) -> None:
        """Send a heartbeat to all entries of the domain, ``FANOUT`` in each round."""
        self._add(MAX_RECEIVERS)

    def _add(self, most: int) -> None:
        live = self._membership.live(self._membership.me.failure_domain)
        chosen = [member.ip for member in self._rng.sample(live, min(most, len(live)))]
        # Earlier receivers that are still due get the newer content as well.
        self._receivers = list(dict.fromkeys(chosen + self._receivers))
        self._schedule()

    def _schedule(self) -> None:
        if self._is_scheduled or not self._receivers:
            return
        self._is_scheduled = True
        wait_ms = self._last_round_ms + MIN_INTERVAL_MS - self._timers.now_ms()
        self._timers.after(max(0.0, wait_ms), self._send_round)

    def _send_round(self) -> None:
        self._is_scheduled = False
        self._last_round_ms = self._timers.now_ms()
        receivers, self._receivers = self._receivers[:FANOUT], self._receivers[FANOUT:]
        for ip in receivers:
            self._membership.send_heartbeat(ip)
        self._schedule()
